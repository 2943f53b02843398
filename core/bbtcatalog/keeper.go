package bbtcatalog

import (
	"cmp"
	"maps"
	"slices"
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

// item holds the latest known change of a published item.
type item struct {
	change      Change
	receivedAt  time.Time // when this host received the change
	effectiveAt time.Time // when a removal that may be due to an outage takes effect; zero for at once
}

// Catalog holds the latest state of all published items. It is not safe for
// concurrent use. The zero value is an empty catalog without a drain timeout.
type Catalog struct {
	revision        uint64
	trimmedRevision uint64 // removals up to it may be unknown
	config          item
	endpoints       map[string]item
	zones           map[string]item
	outageEnd       time.Time // end of the last platform outage that this host saw
	drainTimeout    time.Duration
	index           *Index
}

// NewCatalog returns an empty catalog. drainTimeout is the operators' bound on how
// long an endpoint may still be used after its removal; zero for no bound.
func NewCatalog(drainTimeout time.Duration) *Catalog { return &Catalog{drainTimeout: drainTimeout} }

// SetDrainTimeout changes the operators' bound on the use of removed endpoints.
func (cat *Catalog) SetDrainTimeout(drainTimeout time.Duration) { cat.drainTimeout = drainTimeout }

// Revision returns the platform revision up to which all changes are known.
func (cat *Catalog) Revision() uint64 { return cat.revision }

// Index returns the index of the configuration in force.
func (cat *Catalog) Index() *Index {
	if cat.index == nil {
		cat.index = NewIndex(cat.config.change.Config)
	}
	return cat.index
}

// OutageEnded records that the platform is reachable again after an outage.
func (cat *Catalog) OutageEnded(now time.Time) { cat.outageEnd = now }

// Apply merges an update and reports whether anything changed. Older changes
// never replace newer ones.
func (cat *Catalog) Apply(now time.Time, u Update) bool {
	changed := false
	listed := make(map[string]bool)
	for _, c := range u.Changes {
		changed = cat.applyChange(now, c) || changed
		if c.Endpoint != nil {
			listed["e"+c.Endpoint.ID] = true
		}
		if c.Zone != nil {
			listed["z"+*c.Zone] = true
		}
	}
	if u.Full && u.Revision > cat.revision {
		changed = cat.removeMissing(now, u.Revision, listed) || changed
		cat.trimmedRevision = max(cat.trimmedRevision, u.Revision)
	}
	cat.revision = max(cat.revision, u.Revision)
	cat.trimTombstones(now)
	return changed
}

// applyChange merges one change and reports whether it is newer than the known
// state.
func (cat *Catalog) applyChange(now time.Time, c Change) bool {
	switch {
	case c.Config != nil:
		if old := cat.config.change.Config; c.Removed || old != nil && c.Config.Version <= old.Version {
			return false
		}
		cat.config = item{change: c, receivedAt: now}
		cat.index = nil
		return true
	case c.Endpoint != nil:
		if cat.endpoints == nil {
			cat.endpoints = make(map[string]item)
		}
		return cat.putChange(now, cat.endpoints, c.Endpoint.ID, c)
	case c.Zone != nil:
		if cat.zones == nil {
			cat.zones = make(map[string]item)
		}
		return cat.putChange(now, cat.zones, *c.Zone, c)
	}
	return false
}

// putChange records a change of an item unless a newer one is known. The removal
// of an endpoint right after an outage takes effect only once the endpoint has
// had time to register again, unless it was draining.
func (cat *Catalog) putChange(now time.Time, items map[string]item, id string, c Change) bool {
	old, ok := items[id]
	if ok && old.change.Revision >= c.Revision {
		return false
	}
	it := item{change: c, receivedAt: now}
	if c.Removed && c.Endpoint != nil && ok && !old.change.Removed {
		it.change.Endpoint = old.change.Endpoint
		if recovered := cat.outageEnd.Add(OutageRecoveryTime); !cat.outageEnd.IsZero() && now.Before(recovered) && !old.change.Endpoint.Draining {
			it.effectiveAt = cat.limitToDrainTimeout(now, recovered)
		}
	}
	items[id] = it
	return true
}

// drainMargin is how long before the end of the drain timeout a removed endpoint
// may receive its last request.
const drainMargin = 500 * time.Millisecond

// limitToDrainTimeout returns t, or the last time at which an endpoint that is
// removed now may be used if that is earlier.
func (cat *Catalog) limitToDrainTimeout(now, t time.Time) time.Time {
	if last := now.Add(cat.drainTimeout - drainMargin); cat.drainTimeout > 0 && last.Before(t) {
		return last
	}
	return t
}

// removeMissing removes the items that are not listed in a full update of the
// given revision.
func (cat *Catalog) removeMissing(now time.Time, revision uint64, listed map[string]bool) bool {
	changed := false
	for id, it := range cat.endpoints {
		if !listed["e"+id] && !it.change.Removed && it.change.Revision <= revision {
			changed = cat.putChange(now, cat.endpoints, id, Change{Revision: revision, Endpoint: it.change.Endpoint, Removed: true}) || changed
		}
	}
	for id, it := range cat.zones {
		if !listed["z"+id] && !it.change.Removed && it.change.Revision <= revision {
			changed = cat.putChange(now, cat.zones, id, Change{Revision: revision, Zone: it.change.Zone, Removed: true}) || changed
		}
	}
	return changed
}

// trimTombstones deletes removals older than the retention time.
func (cat *Catalog) trimTombstones(now time.Time) {
	for _, items := range []map[string]item{cat.endpoints, cat.zones} {
		maps.DeleteFunc(items, func(_ string, it item) bool {
			expired := it.change.Removed && now.Sub(it.receivedAt) > tombstoneRetention
			if expired {
				cat.trimmedRevision = max(cat.trimmedRevision, it.change.Revision)
			}
			return expired
		})
	}
}

// UpdateSince returns the changes for a host that knows all changes up to revision.
func (cat *Catalog) UpdateSince(revision uint64) Update {
	u := Update{Revision: cat.revision, Full: revision < cat.trimmedRevision || revision == 0}
	add := func(it item) {
		if it.change.Revision > revision || u.Full {
			u.Changes = append(u.Changes, it.change)
		}
	}
	if cat.config.change.Config != nil {
		add(cat.config)
	}
	for _, items := range []map[string]item{cat.endpoints, cat.zones} {
		for _, id := range slices.Sorted(maps.Keys(items)) {
			add(items[id])
		}
	}
	return u
}

// ListedEndpoint is a published endpoint with the time at which this host
// received the entry.
type ListedEndpoint struct {
	Endpoint         Endpoint
	ReceivedAt       time.Time
	ZoneOutOfService bool // its availability zone is out of service
}

// Endpoints returns the published endpoints sorted by ID, including those that
// are draining and those whose removal has not taken effect yet.
func (cat *Catalog) Endpoints(now time.Time) []ListedEndpoint {
	var out []ListedEndpoint
	for _, it := range cat.endpoints {
		if it.change.Removed && !now.Before(it.effectiveAt) {
			continue
		}
		ep := *it.change.Endpoint
		out = append(out, ListedEndpoint{Endpoint: ep, ReceivedAt: it.receivedAt, ZoneOutOfService: cat.ZoneOutOfService(ep.Zone)})
	}
	slices.SortFunc(out, func(a, b ListedEndpoint) int { return cmp.Compare(a.Endpoint.ID, b.Endpoint.ID) })
	return out
}

// ZoneOutOfService reports whether operators have taken the availability zone out
// of service.
func (cat *Catalog) ZoneOutOfService(zone string) bool {
	it, ok := cat.zones[zone]
	return ok && !it.change.Removed
}
