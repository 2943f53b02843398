package main

import (
	"fmt"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtmember"
	"bluebelltray/core/bbtowner"
)

// checks watches what must always hold.
type checks struct {
	violations  []string
	floor       map[bbtfleet.HostID]bbtfleet.Version // that a starting host may not serve below
	last        map[bbtfleet.HostID]bbtfleet.Version // in force in the host's process
	idle        map[bbtfleet.EndpointID]time.Duration
	longest     time.Duration      // longest time that no host had a right to an endpoint
	over        int                // most slots of an endpoint that hosts had a right to beyond its own
	parted      map[pair]time.Time // when the hosts last could not know of each other's host list
	falseAlarms int                // hosts declared dead that run and can be reached
	detected    func(by *host, of bbtfleet.HostID)
	arrived     func(h *host)
	serving     func(h *host)
}

// newChecks returns checks that have seen nothing.
func newChecks() *checks {
	return &checks{
		floor:    make(map[bbtfleet.HostID]bbtfleet.Version),
		last:     make(map[bbtfleet.HostID]bbtfleet.Version),
		idle:     make(map[bbtfleet.EndpointID]time.Duration),
		parted:   make(map[pair]time.Time),
		detected: func(*host, bbtfleet.HostID) {},
		arrived:  func(*host) {},
		serving:  func(*host) {},
	}
}

// violate records a violation.
func (c *checks) violate(w *world, format string, args ...any) {
	at := w.now.Sub(time.Unix(0, 0))
	c.violations = append(c.violations, fmt.Sprintf("%v: ", at)+fmt.Sprintf(format, args...))
}

// started notes the oldest version that serving hosts have in force.
func (c *checks) started(h *host) {
	var floor bbtfleet.Version
	for _, other := range h.world.up() {
		if other == h || !other.keeper.Serving() {
			continue
		}
		if v := other.keeper.Version(); floor == (bbtfleet.Version{}) || floor.Newer(v) {
			floor = v
		}
	}
	c.floor[h.id] = floor
	delete(c.last, h.id)
}

// served checks that a host does not begin to serve with an older view than all
// others had when it started.
func (c *checks) served(h *host) {
	if v := h.keeper.Version(); c.floor[h.id].Newer(v) {
		c.violate(h.world, "%s serves %v, all others had %v", h.id, v, c.floor[h.id])
	}
	c.serving(h)
}

// inForce checks that a host's configuration only gives way to a newer one.
func (c *checks) inForce(h *host) {
	v := h.keeper.Version()
	if last, ok := c.last[h.id]; ok && !v.Newer(last) {
		c.violate(h.world, "%s went from %v back to %v", h.id, last, v)
	}
	c.last[h.id] = v
	c.arrived(h)
}

// changed counts hosts declared dead without cause.
func (c *checks) changed(h *host, a bbtmember.StateChanged) {
	if a.State != bbtmember.Dead {
		return
	}
	w := h.world
	other := w.byID[a.Host]
	if other.running && !other.frozen.After(w.now) && !w.severed(h.id, a.Host) && !w.severed(a.Host, h.id) {
		c.falseAlarms++
	}
	c.detected(h, a.Host)
}

// wrong returns the number of hosts that believe another one dead though both
// run and reach each other.
func (w *world) wrong() int {
	n := 0
	for _, h := range w.up() {
		for _, other := range w.up() {
			if !other.unlisted && !w.severed(h.id, other.id) && !w.severed(other.id, h.id) && h.member.State(other.id) == bbtmember.Dead {
				n++
			}
		}
	}
	return n
}

// sample checks the rights to all endpoints and adds a period to the time that
// they have none.
func (c *checks) sample(w *world, period time.Duration) {
	sums := make(map[bbtfleet.EndpointID]int)
	for _, h := range w.up() {
		for _, id := range h.rights.Endpoints(w.now) {
			sums[id] += h.slots(id)
		}
	}
	for _, e := range w.endpoints {
		sum := sums[e.ID()]
		c.over = max(c.over, sum-e.Slots())
		if sum > e.Slots() {
			c.exceeded(w, e)
		}
		if sum > 0 {
			c.idle[e.ID()] = 0
			continue
		}
		c.idle[e.ID()] += period
		c.longest = max(c.longest, c.idle[e.ID()])
	}
}

// pair is two hosts.
type pair struct{ a, b bbtfleet.HostID }

// exceeded checks rights to more than an endpoint's slots. Hosts that are cut
// off from each other while one lacks a list that the other has can't know of
// each other's rights; of all others, the slots are the limit.
func (c *checks) exceeded(w *world, e bbtfleet.Endpoint) {
	var users []*host
	for _, h := range w.up() {
		if h.slots(e.ID()) > 0 {
			users = append(users, h)
		}
	}
	for _, h := range users {
		sum := 0
		var who []string
		for _, other := range users {
			if c.apart(w, h, other) {
				continue
			}
			n := other.slots(e.ID())
			sum += n
			who = append(who, fmt.Sprintf("%s %d under list %d", other.id, n, other.keeper.Hosts().Revision()))
		}
		if sum > e.Slots() {
			c.violate(w, "%s has %d slots, rights to %d: %v", e.ID(), e.Slots(), sum, who)
		}
	}
}

// apart reports whether two hosts can't know of each other's host list, or
// could not until a placement ago.
func (c *checks) apart(w *world, h, other *host) bool {
	cut := w.severed(h.id, other.id) || w.severed(other.id, h.id)
	late := h.keeper.Hosts().Revision() != other.keeper.Hosts().Revision() || h.listed.Sub(other.listed).Abs() > listSpread
	key := pair{h.id, other.id}
	if cut && late {
		c.parted[key] = w.now
	}
	at, ok := c.parted[key]
	return ok && w.now.Sub(at) <= listSpread+bbtowner.TakeoverDelay
}
