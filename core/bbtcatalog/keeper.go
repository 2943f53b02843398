package bbtcatalog

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// tombstoneLife is how long a removal is remembered for peers that lag.
	tombstoneLife = 5 * time.Minute
	// OutageRecoveryTime is the time after an outage of the platform within which
	// entries that lapsed meanwhile are back (platform: service discovery).
	OutageRecoveryTime = 2 * time.Second
)

// item is the newest change of one published item.
type item struct {
	change Change
	taken  time.Time // when this host learnt of it
	lapses time.Time // when a removal that may be an outage's counts; zero if it counts
}

// Catalog holds the newest state of everything published. It is not safe for
// concurrent use. The zero value holds nothing.
type Catalog struct {
	revision  uint64
	trimmed   uint64 // removals up to it may have been forgotten
	config    item
	endpoints map[string]item
	zones     map[string]item
	outage    time.Time // end of the last outage of the platform that this host saw
	drain     time.Duration
	index     *Index
}

// NewCatalog returns a keeper that holds nothing. drain is the operators' bound
// on the time for which an endpoint may still be used after its removal; zero
// for none.
func NewCatalog(drain time.Duration) *Catalog { return &Catalog{drain: drain} }

// SetDrainTimeout changes the operators' bound that NewKeeper takes.
func (k *Catalog) SetDrainTimeout(drain time.Duration) { k.drain = drain }

// Revision returns the platform revision up to which all changes are known.
func (k *Catalog) Revision() uint64 { return k.revision }

// Index returns the configuration in force.
func (k *Catalog) Index() *Index {
	if k.index == nil {
		k.index = NewIndex(k.config.change.Config)
	}
	return k.index
}

// OutageEnded records that the platform answers again after an outage.
func (k *Catalog) OutageEnded(now time.Time) { k.outage = now }

// Apply takes an update and reports whether anything changed. Older changes
// never replace newer ones.
func (k *Catalog) Apply(now time.Time, u Update) bool {
	changed := false
	seen := make(map[string]bool)
	for _, c := range u.Changes {
		changed = k.take(now, c) || changed
		if c.Endpoint != nil {
			seen["e"+c.Endpoint.ID] = true
		}
		if c.Zone != nil {
			seen["z"+*c.Zone] = true
		}
	}
	if u.Full && u.Revision > k.revision {
		changed = k.dropUnseen(now, u.Revision, seen) || changed
	}
	k.revision = max(k.revision, u.Revision)
	k.trim(now)
	return changed
}

// take records one change and reports whether it is news.
func (k *Catalog) take(now time.Time, c Change) bool {
	switch {
	case c.Config != nil:
		if old := k.config.change.Config; c.Removed || old != nil && c.Config.Version <= old.Version {
			return false
		}
		k.config = item{change: c, taken: now}
		k.index = nil
		return true
	case c.Endpoint != nil:
		if k.endpoints == nil {
			k.endpoints = make(map[string]item)
		}
		return k.put(now, k.endpoints, c.Endpoint.ID, c)
	case c.Zone != nil:
		if k.zones == nil {
			k.zones = make(map[string]item)
		}
		return k.put(now, k.zones, *c.Zone, c)
	}
	return false
}

// put records a change of an item unless a newer one is known. The removal of
// an endpoint around an outage counts once it had time to come back.
func (k *Catalog) put(now time.Time, items map[string]item, id string, c Change) bool {
	old, ok := items[id]
	if ok && old.change.Revision >= c.Revision {
		return false
	}
	it := item{change: c, taken: now}
	if c.Removed && c.Endpoint != nil && ok && !old.change.Removed {
		it.change.Endpoint = old.change.Endpoint
		if back := k.outage.Add(OutageRecoveryTime); !k.outage.IsZero() && now.Before(back) && !old.change.Endpoint.Draining {
			it.lapses = k.within(now, back)
		}
	}
	items[id] = it
	return true
}

// drainMargin is the time before the operators' bound at which a removed
// endpoint gets its last request.
const drainMargin = 500 * time.Millisecond

// within returns the earlier of a time and the last one at which an endpoint
// may be used that is removed now.
func (k *Catalog) within(now, t time.Time) time.Time {
	if last := now.Add(k.drain - drainMargin); k.drain > 0 && last.Before(t) {
		return last
	}
	return t
}

// dropUnseen removes what a whole update of a revision doesn't hold.
func (k *Catalog) dropUnseen(now time.Time, rev uint64, seen map[string]bool) bool {
	changed := false
	for id, it := range k.endpoints {
		if !seen["e"+id] && !it.change.Removed && it.change.Revision <= rev {
			changed = k.put(now, k.endpoints, id, Change{Revision: rev, Endpoint: it.change.Endpoint, Removed: true}) || changed
		}
	}
	for id, it := range k.zones {
		if !seen["z"+id] && !it.change.Removed && it.change.Revision <= rev {
			changed = k.put(now, k.zones, id, Change{Revision: rev, Zone: it.change.Zone, Removed: true}) || changed
		}
	}
	return changed
}

// trim forgets old removals.
func (k *Catalog) trim(now time.Time) {
	for _, items := range []map[string]item{k.endpoints, k.zones} {
		maps.DeleteFunc(items, func(_ string, it item) bool {
			old := it.change.Removed && now.Sub(it.taken) > tombstoneLife
			if old {
				k.trimmed = max(k.trimmed, it.change.Revision)
			}
			return old
		})
	}
}

// UpdateSince returns what a host that knows all changes up to rev lacks.
func (k *Catalog) UpdateSince(rev uint64) Update {
	u := Update{Revision: k.revision, Full: rev < k.trimmed || rev == 0}
	add := func(it item) {
		if it.change.Revision > rev || u.Full {
			u.Changes = append(u.Changes, it.change)
		}
	}
	if k.config.change.Config != nil {
		add(k.config)
	}
	for _, items := range []map[string]item{k.endpoints, k.zones} {
		for _, id := range slices.Sorted(maps.Keys(items)) {
			add(items[id])
		}
	}
	return u
}

// ListedEndpoint is a known endpoint with the time at which this host learnt of the
// entry.
type ListedEndpoint struct {
	Endpoint         Endpoint
	ReceivedAt       time.Time
	ZoneOutOfService bool // its availability zone is taken out
}

// Endpoints returns the endpoints that are published, sorted by their IDs.
// Those that are draining are among them.
func (k *Catalog) Endpoints(now time.Time) []ListedEndpoint {
	var out []ListedEndpoint
	for _, it := range k.endpoints {
		if it.change.Removed && !now.Before(it.lapses) {
			continue
		}
		ep := *it.change.Endpoint
		out = append(out, ListedEndpoint{Endpoint: ep, ReceivedAt: it.taken, ZoneOutOfService: k.ZoneOutOfService(ep.Zone)})
	}
	slices.SortFunc(out, func(a, b ListedEndpoint) int { return cmp.Compare(a.Endpoint.ID, b.Endpoint.ID) })
	return out
}

// ZoneOutOfService reports whether operators have taken the availability zone out.
func (k *Catalog) ZoneOutOfService(zone string) bool {
	it, ok := k.zones[zone]
	return ok && !it.change.Removed
}
