package bbtowner

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
)

// Rights tracks a host's rights to endpoints across changes of the placement.
// It is not safe for concurrent use.
type Rights struct {
	self           bbtfleet.HostID
	listeningSince time.Time        // when the host began to listen to the other hosts
	validFrom      time.Time        // no rights before then
	placements     []timedPlacement // oldest first
	left           bool
}

// timedPlacement is a Placement and the time at which it was set.
type timedPlacement struct {
	placement *Placement
	setAt     time.Time
	endpoints []bbtfleet.EndpointID // endpoints that the host is a rank of
}

// NewRights returns the rights of a process that has no placement yet.
func NewRights(self bbtfleet.HostID) *Rights { return &Rights{self: self} }

// SetPlacement sets the current placement. It is first called when the host
// starts to serve, which counts as the time at which it began to listen to the
// others.
func (r *Rights) SetPlacement(now time.Time, placement *Placement) {
	if len(r.placements) == 0 {
		r.listeningSince = now
	}
	if len(r.placements) == 0 || now.Before(r.validFrom) {
		r.placements = nil
		r.validFrom = now.Add(TakeoverDelay)
	}
	p := timedPlacement{placement: placement, setAt: now}
	for _, e := range placement.Configuration().Endpoints() {
		if slices.Contains(placement.Ranks(e.ID()), r.self) {
			p.endpoints = append(p.endpoints, e.ID())
		}
	}
	r.dropReplaced(now)
	r.placements = append(r.placements, p)
}

// Suspend records that the host's view is not fresh at now, so that other hosts
// may have a newer placement. The host has no rights until YieldPeriod after
// the last call. If a placement is set before then, it has none until
// TakeoverDelay after that.
func (r *Rights) Suspend(now time.Time) {
	if validFrom := now.Add(YieldPeriod); validFrom.After(r.validFrom) {
		r.validFrom = validFrom
	}
}

// Leave ends all rights permanently.
func (r *Rights) Leave() { r.left = true }

// Endpoints returns the endpoints to which the host may have a right at now,
// sorted by ID.
func (r *Rights) Endpoints(now time.Time) []bbtfleet.EndpointID {
	r.dropReplaced(now)
	var out []bbtfleet.EndpointID
	for _, p := range r.placements {
		out = append(out, p.endpoints...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Slots returns how many of the endpoint's slots the host may fill at now.
// Permits that it grants may live for at most MaxPermitLifetime.
//
// A process has no rights until TakeoverDelay after its first placement was
// set, because other hosts may still rely on answers of the host's previous
// process or have an earlier placement. A later placement takes effect
// YieldPeriod after it was set, and the one before stays in effect until
// TakeoverDelay after the later one was set; while both are in effect, the
// smaller right applies. Hosts that receive a placement within TakeoverDelay -
// YieldPeriod of each other therefore always have one in common.
func (r *Rights) Slots(now time.Time, id bbtfleet.EndpointID, contacts Contacts) int {
	r.dropReplaced(now)
	if r.left || len(r.placements) == 0 || now.Before(r.validFrom) {
		return 0
	}
	least := r.slots(now, 0, id, contacts)
	for i := 1; i < len(r.placements); i++ {
		if now.Sub(r.placements[i].setAt) >= YieldPeriod {
			least = min(least, r.slots(now, i, id, contacts))
		}
	}
	return least
}

// slots returns the right under the i-th placement.
func (r *Rights) slots(now time.Time, i int, id bbtfleet.EndpointID, contacts Contacts) int {
	e, ok := r.placements[i].placement.Configuration().Endpoint(id)
	if !ok {
		return 0
	}
	return r.placements[i].placement.Right(now, r.listeningSince, r.self, e, contacts)
}

// ProbeTargets returns the hosts whose answers to probes the host's rights
// depend on, sorted by ID. They are the other ranks of the endpoints for which
// the host hears from no better rank.
func (r *Rights) ProbeTargets(now time.Time, contacts Contacts) []bbtfleet.HostID {
	r.dropReplaced(now)
	var out []bbtfleet.HostID
	for _, p := range r.placements {
		for _, id := range p.endpoints {
			ranks := p.placement.Ranks(id)
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

// dropReplaced removes the placements that were replaced at least TakeoverDelay
// ago.
func (r *Rights) dropReplaced(now time.Time) {
	for len(r.placements) > 1 && now.Sub(r.placements[1].setAt) >= TakeoverDelay {
		r.placements = r.placements[1:]
	}
}
