package bbtschedule

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	maxDraining = 4096 // incarnations remembered
	// drainingRetention is how long an incarnation is remembered that is not listed,
	// since a store that was restored may list it again.
	drainingRetention = 10 * time.Minute
)

// Draining is the set of the endpoint incarnations that have said in answers that they
// are draining. An incarnation drains until it ends, whatever is published of it.
type Draining struct{ byEndpoint map[string]drainingMark }

// drainingMark is an incarnation that drains.
type drainingMark struct {
	incarnation Incarnation
	seenAt      time.Time // when it was last said, or listed
}

// NewDraining returns an empty set.
func NewDraining() *Draining { return &Draining{byEndpoint: make(map[string]drainingMark)} }

// Add adds an incarnation, and reports whether it is new. One that an incarnation in
// the set succeeds is left out.
func (d *Draining) Add(now time.Time, i Incarnation) bool {
	known, ok := d.byEndpoint[i.Endpoint]
	if ok && known.incarnation.Succeeds(i) {
		return false
	}
	if !ok && len(d.byEndpoint) >= maxDraining {
		d.forgetOldest()
	}
	d.byEndpoint[i.Endpoint] = drainingMark{i, now}
	return !ok || i.Succeeds(known.incarnation)
}

// forgetOldest removes the quarter of the incarnations that were seen longest ago.
func (d *Draining) forgetOldest() {
	marks := slices.SortedFunc(maps.Values(d.byEndpoint), func(a, b drainingMark) int {
		return cmp.Or(a.seenAt.Compare(b.seenAt), cmp.Compare(a.incarnation.Endpoint, b.incarnation.Endpoint))
	})
	for _, m := range marks[:len(marks)/4] {
		delete(d.byEndpoint, m.incarnation.Endpoint)
	}
}

// Has reports whether an incarnation, or a later one of the same endpoint, is in the
// set.
func (d *Draining) Has(i Incarnation) bool {
	known, ok := d.byEndpoint[i.Endpoint]
	return ok && !i.Succeeds(known.incarnation)
}

// Keep forgets the endpoints that have not been listed for long.
func (d *Draining) Keep(now time.Time, listed func(endpoint string) bool) {
	for id, m := range d.byEndpoint {
		switch {
		case listed(id):
			d.byEndpoint[id] = drainingMark{m.incarnation, now}
		case now.Sub(m.seenAt) > drainingRetention:
			delete(d.byEndpoint, id)
		}
	}
}

// List returns the incarnations in the order of their endpoints' IDs.
func (d *Draining) List() []Incarnation {
	var out []Incarnation
	for _, id := range slices.Sorted(maps.Keys(d.byEndpoint)) {
		out = append(out, d.byEndpoint[id].incarnation)
	}
	return out
}

// recordDraining records that an incarnation of an endpoint has said in an answer that
// it is draining. Its runs go on. The zero value has said nothing.
func (s *Scheduler) recordDraining(now time.Time, i Incarnation) {
	if i == (Incarnation{}) || !s.draining.Add(now, i) {
		return
	}
	if e := s.byID[i.Endpoint]; e != nil {
		e.setSaysDraining(s.draining.Has(incarnationOf(e.record)))
	}
}

// setSaysDraining sets whether the endpoint has said that it is draining.
func (e *endpoint) setSaysDraining(says bool) {
	if e.saysDraining == says {
		return
	}
	e.saysDraining = says
	e.service.order.remove(e)
	e.service.order.refreshedAt = time.Time{}
}

// draining reports whether the endpoint takes no new requests, as published or as it
// has said.
func (e *endpoint) draining() bool { return e.record.Draining || e.saysDraining }
