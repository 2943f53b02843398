package bbtowner

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
)

// Rights follows a host's rights to endpoints through changes of the placement.
// It is not safe for concurrent use.
type Rights struct {
	self    bbtfleet.HostID
	started time.Time   // listening for others
	ready   time.Time   // no right before
	held    []placement // oldest first
	left    bool
}

// placement is a Map with the time since which it is in force.
type placement struct {
	m     *Map
	since time.Time
	own   []bbtfleet.EndpointID // that the host is a rank of
}

// NewRights returns the rights of a host's process before its first placement.
func NewRights(self bbtfleet.HostID) *Rights { return &Rights{self: self} }

// SetMap gives the placement in force, the first one when the host begins to
// serve.
func (r *Rights) SetMap(now time.Time, m *Map) {
	if len(r.held) == 0 {
		r.started = now
	}
	if len(r.held) == 0 || now.Before(r.ready) {
		r.held = nil
		r.ready = now.Add(TakeoverDelay)
	}
	p := placement{m: m, since: now}
	for _, e := range m.Configuration().Endpoints() {
		if slices.Contains(m.Ranks(e.ID()), r.self) {
			p.own = append(p.own, e.ID())
		}
	}
	r.forget(now)
	r.held = append(r.held, p)
}

// Suspend says that the host's view is not fresh at now, so that others may
// have replaced its placement. It has no right until YieldFor after the last
// call, or StepIn after a placement that comes before then.
func (r *Rights) Suspend(now time.Time) {
	if ready := now.Add(YieldPeriod); ready.After(r.ready) {
		r.ready = ready
	}
}

// Leave ends all rights for good.
func (r *Rights) Leave() { r.left = true }

// Endpoints returns the endpoints in order to which the host may have a right
// at now.
func (r *Rights) Endpoints(now time.Time) []bbtfleet.EndpointID {
	r.forget(now)
	var out []bbtfleet.EndpointID
	for _, p := range r.held {
		out = append(out, p.own...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Slots returns how many of the endpoint's slots the host may fill at now. What
// it grants may live for at most GrantFor.
//
// A process that starts has no right for StepIn, in which others may count on
// the answers of its former one or have a former placement. A later placement counts from YieldFor after it
// came, and the one before until StepIn after; while both count, the smaller
// right holds. So hosts that get a placement within StepIn - YieldFor of each
// other have one in common at any time.
func (r *Rights) Slots(now time.Time, id bbtfleet.EndpointID, contacts Contacts) int {
	r.forget(now)
	if r.left || len(r.held) == 0 || now.Before(r.ready) {
		return 0
	}
	least := r.slots(now, 0, id, contacts)
	for i := 1; i < len(r.held); i++ {
		if now.Sub(r.held[i].since) >= YieldPeriod {
			least = min(least, r.slots(now, i, id, contacts))
		}
	}
	return least
}

// slots returns the right under one placement.
func (r *Rights) slots(now time.Time, i int, id bbtfleet.EndpointID, contacts Contacts) int {
	e, ok := r.held[i].m.Configuration().Endpoint(id)
	if !ok {
		return 0
	}
	return r.held[i].m.Right(now, r.started, r.self, e, contacts)
}

// ProbeTargets returns the hosts in order whose answers to probes the host's
// rights depend on: the other ranks of the endpoints of which it hears from no
// better rank.
func (r *Rights) ProbeTargets(now time.Time, contacts Contacts) []bbtfleet.HostID {
	r.forget(now)
	var out []bbtfleet.HostID
	for _, p := range r.held {
		for _, id := range p.own {
			ranks := p.m.Ranks(id)
			better := ranks[:slices.Index(ranks, r.self)]
			if !heardBetter(now, r.started, better, contacts) {
				out = append(out, ranks...)
			}
		}
	}
	slices.Sort(out)
	out = slices.Compact(out)
	return slices.DeleteFunc(out, func(id bbtfleet.HostID) bool { return id == r.self })
}

// forget drops the placements that were replaced StepIn ago.
func (r *Rights) forget(now time.Time) {
	for len(r.held) > 1 && now.Sub(r.held[1].since) >= TakeoverDelay {
		r.held = r.held[1:]
	}
}
