package main

import (
	"fmt"
	"maps"
	"slices"
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
	owners      map[bbtfleet.EndpointID]map[bbtfleet.HostID]bool
	unowned     map[bbtfleet.EndpointID]time.Duration
	longest     time.Duration // longest time that an endpoint had no owner
	falseAlarms int           // hosts declared dead that run and can be reached
	detected    func(by *host, of bbtfleet.HostID)
	arrived     func(h *host)
	serving     func(h *host)
}

// newChecks returns checks that have seen nothing.
func newChecks() *checks {
	return &checks{
		floor:    make(map[bbtfleet.HostID]bbtfleet.Version),
		last:     make(map[bbtfleet.HostID]bbtfleet.Version),
		owners:   make(map[bbtfleet.EndpointID]map[bbtfleet.HostID]bool),
		unowned:  make(map[bbtfleet.EndpointID]time.Duration),
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

// stopped forgets a process.
func (c *checks) stopped(h *host) {
	for _, hosts := range c.owners {
		delete(hosts, h.id)
	}
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
func (c *checks) changed(h *host, a bbtmember.Changed) {
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

// acquired checks that the endpoint has no other owner.
func (c *checks) acquired(h *host, a bbtowner.Acquired) {
	if c.owners[a.Endpoint] == nil {
		c.owners[a.Endpoint] = make(map[bbtfleet.HostID]bool)
	}
	c.owners[a.Endpoint][h.id] = true
	c.alone(h, a.Endpoint)
}

// lost notes the end of an ownership.
func (c *checks) lost(h *host, a bbtowner.Lost) { delete(c.owners[a.Endpoint], h.id) }

// ticked checks the endpoints that the host owns.
func (c *checks) ticked(h *host) {
	for id, hosts := range c.owners {
		if hosts[h.id] && len(hosts) > 1 {
			c.alone(h, id)
		}
	}
}

// alone checks that no other host owns the endpoint while h does.
func (c *checks) alone(h *host, id bbtfleet.EndpointID) {
	w := h.world
	if !h.elector.Holds(w.now, id) {
		return
	}
	for _, other := range slices.Sorted(maps.Keys(c.owners[id])) {
		if other != h.id && w.byID[other].elector.Holds(w.now, id) {
			c.violate(w, "%s and %s own %s", h.id, other, id)
		}
	}
}

// sample adds a period to the time that endpoints have no owner.
func (c *checks) sample(w *world, period time.Duration) {
	for _, ep := range w.endpoints {
		owned := false
		for id := range c.owners[ep.ID()] {
			owned = owned || w.byID[id].elector.Holds(w.now, ep.ID())
		}
		if owned {
			c.unowned[ep.ID()] = 0
			continue
		}
		c.unowned[ep.ID()] += period
		c.longest = max(c.longest, c.unowned[ep.ID()])
	}
}
