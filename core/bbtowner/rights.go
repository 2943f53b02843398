package bbtowner

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
)

// Rights follows a host's rights to endpoints through changes of the placement.
// It is not safe for concurrent use.
type Rights struct {
	self           bbtfleet.HostID
	listeningSince time.Time   // listening for others
	validFrom      time.Time   // no right before
	placements     []placement // oldest first
	left           bool
}

// placement is a Map with the time since which it is in force.
type placement struct {
	m         *Map
	since     time.Time
	endpoints []bbtfleet.EndpointID // that the host is a rank of
}

// NewRights returns the rights of a host's process before its first placement.
func NewRights(self bbtfleet.HostID) *Rights { return &Rights{self: self} }

// SetMap gives the placement in force, the first one when the host begins to
// serve.
func (r *Rights) SetMap(now time.Time, m *Map) {
	if len(r.placements) == 0 {
		r.listeningSince = now
	}
	if len(r.placements) == 0 || now.Before(r.validFrom) {
		r.placements = nil
		r.validFrom = now.Add(TakeoverDelay)
	}
	p := placement{m: m, since: now}
	for _, e := range m.Configuration().Endpoints() {
		if slices.Contains(m.Ranks(e.ID()), r.self) {
			p.endpoints = append(p.endpoints, e.ID())
		}
	}
	r.dropReplaced(now)
	r.placements = append(r.placements, p)
}

// Suspend says that the host's view is not fresh at now, so that others may
// have replaced its placement. It has no right until YieldFor after the last
// call, or StepIn after a placement that comes before then.
func (r *Rights) Suspend(now time.Time) {
	if validFrom := now.Add(YieldPeriod); validFrom.After(r.validFrom) {
		r.validFrom = validFrom
	}
}

// Leave ends all rights for good.
func (r *Rights) Leave() { r.left = true }

// Endpoints returns the endpoints in order to which the host may have a right
// at now.
func (r *Rights) Endpoints(now time.Time) []bbtfleet.EndpointID {
	r.dropReplaced(now)
	var out []bbtfleet.EndpointID
	for _, p := range r.placements {
		out = append(out, p.endpoints...)
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
	r.dropReplaced(now)
	if r.left || len(r.placements) == 0 || now.Before(r.validFrom) {
		return 0
	}
	least := r.slots(now, 0, id, contacts)
	for i := 1; i < len(r.placements); i++ {
		if now.Sub(r.placements[i].since) >= YieldPeriod {
			least = min(least, r.slots(now, i, id, contacts))
		}
	}
	return least
}

// slots returns the right under one placement.
func (r *Rights) slots(now time.Time, i int, id bbtfleet.EndpointID, contacts Contacts) int {
	e, ok := r.placements[i].m.Configuration().Endpoint(id)
	if !ok {
		return 0
	}
	return r.placements[i].m.Right(now, r.listeningSince, r.self, e, contacts)
}

// ProbeTargets returns the hosts in order whose answers to probes the host's
// rights depend on: the other ranks of the endpoints of which it hears from no
// better rank.
func (r *Rights) ProbeTargets(now time.Time, contacts Contacts) []bbtfleet.HostID {
	r.dropReplaced(now)
	var out []bbtfleet.HostID
	for _, p := range r.placements {
		for _, id := range p.endpoints {
			ranks := p.m.Ranks(id)
			better := ranks[:slices.Index(ranks, r.self)]
			if !betterRankHeard(now, r.listeningSince, better, contacts) {
				out = append(out, ranks...)
			}
		}
	}
	slices.Sort(out)
	out = slices.Compact(out)
	return slices.DeleteFunc(out, func(id bbtfleet.HostID) bool { return id == r.self })
}

// dropReplaced drops the placements that were replaced StepIn ago.
func (r *Rights) dropReplaced(now time.Time) {
	for len(r.placements) > 1 && now.Sub(r.placements[1].since) >= TakeoverDelay {
		r.placements = r.placements[1:]
	}
}
