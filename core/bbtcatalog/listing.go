package bbtcatalog

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// UpdateSince returns the changes for a host that knows all changes up to a position
// and has a configuration of the given version in force, 0 for none. A host in a
// later era is sent a configuration only.
func (cat *Catalog) UpdateSince(known Position, version int64) Update {
	u := Update{Revision: cat.position.Revision, Era: cat.position.Era}
	u.Full = known.Era < cat.position.Era || known.Revision == 0 || known.Before(cat.trimmedPosition)
	if cfg := cat.config.change.Config; cfg != nil && cfg.Version > version {
		u.Changes = append(u.Changes, cat.config.change)
	}
	for _, items := range []map[string]item{cat.endpoints, cat.zones} {
		for _, id := range slices.Sorted(maps.Keys(items)) {
			it := items[id]
			if u.Full && it.position.Era == cat.position.Era && !it.unlisted || !u.Full && known.Before(it.position) {
				u.Changes = append(u.Changes, it.change)
			}
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

// Endpoints returns the endpoints in use sorted by ID, including those that are
// draining and those whose removal has not taken effect yet.
func (cat *Catalog) Endpoints(now time.Time) []ListedEndpoint {
	var out []ListedEndpoint
	for _, it := range cat.endpoints {
		if !it.exists(now) {
			continue
		}
		ep := *it.change.Endpoint
		out = append(out, ListedEndpoint{Endpoint: ep, ReceivedAt: it.receivedAt, ZoneOutOfService: cat.ZoneOutOfService(now, ep.Zone)})
	}
	slices.SortFunc(out, func(a, b ListedEndpoint) int { return cmp.Compare(a.Endpoint.ID, b.Endpoint.ID) })
	return out
}

// ZoneOutOfService reports whether operators have taken the availability zone out
// of service.
func (cat *Catalog) ZoneOutOfService(now time.Time, zone string) bool {
	it, ok := cat.zones[zone]
	return ok && it.exists(now)
}
