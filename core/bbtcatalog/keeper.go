package bbtcatalog

import (
	"maps"
	"time"
)

const (
	// tombstoneRetention is how long a removal is kept for peers that lag
	// behind.
	tombstoneRetention = 5 * time.Minute
	// OutageRecoveryTime is the time after a platform outage within which
	// entries that expired during the outage are registered again, as the
	// platform's service discovery specifies.
	OutageRecoveryTime = 2 * time.Second
)

// Catalog holds the latest state of all published items. It is not safe for
// concurrent use. The zero value is an empty catalog without bounds.
type Catalog struct {
	position        Position
	trimmedPosition Position // removals up to it may be unknown
	config          item
	endpoints       map[string]item
	zones           map[string]item
	outageEnd       time.Time // end of the last platform outage that this host saw
	bounds          Bounds
	index           *Index
	restoration     Restoration
}

// NewCatalog returns an empty catalog. Of the bounds it uses Drain, how long an
// endpoint may still be used after its removal, and Heartbeat.
func NewCatalog(bounds Bounds) *Catalog { return &Catalog{bounds: bounds} }

// SetBounds changes the operators' bounds.
func (cat *Catalog) SetBounds(bounds Bounds) { cat.bounds = bounds }

// Position returns the platform's position up to which all changes are known.
func (cat *Catalog) Position() Position { return cat.position }

// Index returns the index of the configuration in force.
func (cat *Catalog) Index() *Index {
	if cat.index == nil {
		cat.index = NewIndex(cat.config.change.Config)
	}
	return cat.index
}

// OutageEnded records that the platform is reachable again after an outage.
func (cat *Catalog) OutageEnded(now time.Time) { cat.outageEnd = now }

// Apply merges an update and reports whether anything changed. Older changes never
// replace newer ones, and no configuration one of a higher version. An era that
// begins needs a full update.
func (cat *Catalog) Apply(now time.Time, u Update) bool {
	changed := cat.applyConfigs(now, u)
	if u.Era < cat.position.Era || u.Era > cat.position.Era && !u.Full {
		return changed
	}
	begins := u.Era > cat.position.Era && cat.position.Revision > 0
	if begins {
		cat.OutageEnded(now)
		cat.restoration = Restoration{}
	}
	listed := make(map[string]bool) // published, not removed
	for _, c := range u.Changes {
		switch {
		case c.Endpoint != nil:
			listed["e"+c.Endpoint.ID] = !c.Removed
			changed = cat.putEndpoint(now, Position{u.Era, c.Revision}, c, begins) || changed
		case c.Zone != nil:
			listed["z"+*c.Zone] = !c.Removed
			changed = cat.putZone(now, Position{u.Era, c.Revision}, c) || changed
		}
	}
	if u.Full && cat.position.Before(u.Position()) {
		changed = cat.removeMissing(now, u.Position(), listed) || changed
		cat.trimmedPosition = laterPosition(cat.trimmedPosition, u.Position())
	}
	cat.position = laterPosition(cat.position, u.Position())
	cat.trimTombstones(now)
	return changed
}

// applyConfigs puts the configuration of an update in force if its version is higher
// than the one in force. Operators number versions, so they hold across eras.
func (cat *Catalog) applyConfigs(now time.Time, u Update) bool {
	changed := false
	for _, c := range u.Changes {
		if c.Config == nil || c.Removed || cat.config.change.Config != nil && c.Config.Version <= cat.config.change.Config.Version {
			continue
		}
		cat.config = item{change: c, position: Position{u.Era, c.Revision}, receivedAt: now}
		cat.index = nil
		changed = true
	}
	return changed
}

// putEndpoint records a change of an endpoint unless a newer one is known. begins
// says that the change is of the first state of an era.
func (cat *Catalog) putEndpoint(now time.Time, at Position, c Change, begins bool) bool {
	if cat.endpoints == nil {
		cat.endpoints = make(map[string]item)
	}
	old, ok := cat.endpoints[c.Endpoint.ID]
	if ok && !old.position.Before(at) {
		return false
	}
	it := item{change: c, position: at, receivedAt: now}
	switch {
	case ok && c.Removed:
		it.change.Endpoint = old.change.Endpoint
		if !old.change.Removed && old.exists(now) {
			it.effectiveAt = cat.removalTime(now, old.change.Endpoint)
		}
	case ok && begins:
		cat.reconcile(now, old, &it)
	}
	cat.endpoints[c.Endpoint.ID] = it
	return true
}

// putZone records a change of an availability zone unless a newer one is known.
func (cat *Catalog) putZone(now time.Time, at Position, c Change) bool {
	if cat.zones == nil {
		cat.zones = make(map[string]item)
	}
	if old, ok := cat.zones[*c.Zone]; ok && !old.position.Before(at) {
		return false
	}
	cat.zones[*c.Zone] = item{change: c, position: at, receivedAt: now}
	return true
}

// drainMargin is how long before the end of the drain timeout a removed endpoint
// may receive its last request.
const drainMargin = 500 * time.Millisecond

// removalTime returns when the removal of an endpoint in use that becomes known now
// takes effect; zero for at once. Right after an outage that is only once the
// endpoint has had time to register again, unless it was draining.
func (cat *Catalog) removalTime(now time.Time, ep *Endpoint) time.Time {
	recovered := cat.outageEnd.Add(OutageRecoveryTime)
	if ep.Draining || cat.outageEnd.IsZero() || !now.Before(recovered) {
		return time.Time{}
	}
	if last := now.Add(cat.bounds.Drain - drainMargin); cat.bounds.Drain > 0 && last.Before(recovered) {
		return last
	}
	return recovered
}

// trimTombstones deletes removals older than the retention time.
func (cat *Catalog) trimTombstones(now time.Time) {
	for _, items := range []map[string]item{cat.endpoints, cat.zones} {
		maps.DeleteFunc(items, func(_ string, it item) bool {
			expired := it.change.Removed && now.Sub(it.receivedAt) > tombstoneRetention
			if expired {
				cat.trimmedPosition = laterPosition(cat.trimmedPosition, it.position)
			}
			return expired
		})
	}
}
