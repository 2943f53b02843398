package bbtschedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bluebelltray/core/bbtcatalog"
)

const (
	maxUnlisted       = 1024 // endpoints remembered
	unlistedRetention = 10 * time.Minute
)

// unlisted holds endpoints that are no longer published. An entry may be unreadable for a
// moment, or lapse while its process lives: if it is published again, what is known of the
// process, what it has said and what it runs holds on. The zero value is empty.
type unlisted struct{ byID map[string]unlistedEndpoint }

// unlistedEndpoint is an endpoint that was published until a time.
type unlistedEndpoint struct {
	endpoint *endpoint
	until    time.Time
}

// add adds an endpoint. One that does not state when its process started cannot be told
// from another process, so it is left out.
func (u *unlisted) add(now time.Time, e *endpoint) {
	if e.record.StartTimeMS == 0 {
		return
	}
	if u.byID == nil {
		u.byID = make(map[string]unlistedEndpoint)
	}
	if len(u.byID) >= maxUnlisted {
		u.forgetOldest()
	}
	u.byID[e.record.ID] = unlistedEndpoint{e, now}
}

// forgetOldest removes the quarter of the endpoints that were published longest ago.
func (u *unlisted) forgetOldest() {
	all := slices.SortedFunc(maps.Values(u.byID), func(a, b unlistedEndpoint) int {
		return cmp.Or(a.until.Compare(b.until), cmp.Compare(a.endpoint.record.ID, b.endpoint.record.ID))
	})
	for _, l := range all[:len(all)/4] {
		delete(u.byID, l.endpoint.record.ID)
	}
}

// take removes and returns the endpoint of a service that an entry describes, nil if there
// is none: the entry may describe another process of it.
func (u *unlisted) take(sv *service, record bbtcatalog.Endpoint) *endpoint {
	l, ok := u.byID[record.ID]
	if !ok || l.endpoint.service != sv || !l.endpoint.record.SameIncarnation(record) {
		return nil
	}
	delete(u.byID, record.ID)
	l.endpoint.removed = false
	return l.endpoint
}

// of returns an endpoint, nil if there is none.
func (u *unlisted) of(id string) *endpoint { return u.byID[id].endpoint }

// trim forgets the endpoints that have not been published for long.
func (u *unlisted) trim(now time.Time) {
	maps.DeleteFunc(u.byID, func(_ string, l unlistedEndpoint) bool { return now.Sub(l.until) > unlistedRetention })
}
