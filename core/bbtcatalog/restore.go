package bbtcatalog

import "time"

const (
	// zoneHold is how long an availability zone stays out of service although the
	// first state of an era does not say so: operators publish it again.
	zoneHold = 5 * time.Second
	// missedHeartbeats is the number of heartbeats after which the platform removes an
	// endpoint that does not renew its entry, and one more for the removal to arrive.
	missedHeartbeats = 3 + 1
	// defaultHeartbeat is used if operators state none.
	defaultHeartbeat = time.Second
)

// Restoration counts what was known of items and holds although the first state of an
// era says otherwise.
type Restoration struct {
	UnlistedEndpoints int // missing there; in use until they have had time to register again
	HeldBackEndpoints int // removed before; not used until their entries would have expired
	DrainingEndpoints int // listed as ready, but draining
	UnlistedZones     int // missing there; out of service for a while
}

// Restoration returns the counts of the last era that began.
func (cat *Catalog) Restoration() Restoration { return cat.restoration }

// reconcile adapts an endpoint that the first state of an era lists to what is known
// of it. An entry of the same process or of a former one is from the copy: it tells
// nothing of a removal or of a drain that came later. A former process is over, so
// what is known of its successor stays.
func (cat *Catalog) reconcile(now time.Time, old item, it *item) {
	known, listed := old.change.Endpoint, it.change.Endpoint
	former := listed.StartTimeMS < known.StartTimeMS
	if !former && !listed.SameIncarnation(*known) {
		return
	}
	gone := old.change.Removed && !old.unlisted || !old.change.Removed && !old.exists(now)
	if former {
		it.change.Endpoint, it.change.Removed = known, gone || !old.exists(now)
		return
	}
	if known.Draining && !listed.Draining {
		draining := *listed
		draining.Draining = true
		it.change.Endpoint = &draining
		cat.restoration.DrainingEndpoints++
	}
	if gone {
		it.effectiveAt = now.Add(cat.expiryTime())
		cat.restoration.HeldBackEndpoints++
	}
}

// expiryTime returns the time within which an entry that nobody renews disappears.
func (cat *Catalog) expiryTime() time.Duration {
	if cat.bounds.Heartbeat > 0 {
		return missedHeartbeats * cat.bounds.Heartbeat
	}
	return missedHeartbeats * defaultHeartbeat
}

// removeMissing removes the items that are not listed in a full update of the given
// position. In the first state of an era, that an item is missing does not mean that
// somebody removed it, so the removal takes effect later.
func (cat *Catalog) removeMissing(now time.Time, at Position, listed map[string]bool) bool {
	changed := false
	for id, it := range cat.endpoints {
		switch {
		case listed["e"+id] || at.Before(it.position):
		case it.position.Era < at.Era && it.exists(now):
			cat.endpoints[id] = it.unlist(now, at, cat.removalTime(now, it.change.Endpoint))
			cat.restoration.UnlistedEndpoints++
			changed = true
		case !it.change.Removed:
			changed = cat.putEndpoint(now, at, Change{Revision: at.Revision, Endpoint: it.change.Endpoint, Removed: true}, false) || changed
		}
	}
	for zone, it := range cat.zones {
		switch {
		case listed["z"+zone] || at.Before(it.position):
		case it.position.Era < at.Era && it.exists(now):
			cat.zones[zone] = it.unlist(now, at, now.Add(zoneHold))
			cat.restoration.UnlistedZones++
			changed = true
		case !it.change.Removed:
			changed = cat.putZone(now, at, Change{Revision: at.Revision, Zone: it.change.Zone, Removed: true}) || changed
		}
	}
	return changed
}

// unlist returns the removal of an item that nobody reported.
func (it item) unlist(now time.Time, at Position, effectiveAt time.Time) item {
	c := it.change
	c.Revision, c.Removed = at.Revision, true
	return item{change: c, position: at, receivedAt: now, effectiveAt: effectiveAt, unlisted: true}
}
