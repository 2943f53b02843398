package main

import (
	"fmt"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtmember"
	"bluebelltray/core/bbtowner"
)

// checks verifies the invariants of a run.
type checks struct {
	violations             []string
	minVersion             map[bbtfleet.HostID]bbtfleet.Version  // oldest version that a starting host may serve
	lastVersion            map[bbtfleet.HostID]bbtfleet.Version  // active in the host's current process
	unownedTime            map[bbtfleet.EndpointID]time.Duration // since a host last held rights to the endpoint
	longestUnowned         time.Duration                         // longest time without any host holding rights to an endpoint
	maxExcess              int                                   // most slots granted beyond those of an endpoint
	partitionedAt          map[hostPair]time.Time                // when the first was last found partitioned from the second
	falseAlarms            int                                   // hosts declared dead while running, not frozen and reachable
	onDeathDetected        func(by *host, of bbtfleet.HostID)
	onConfigurationApplied func(h *host)
	onServing              func(h *host)
}

// newChecks returns checks without recorded state.
func newChecks() *checks {
	return &checks{
		minVersion:             make(map[bbtfleet.HostID]bbtfleet.Version),
		lastVersion:            make(map[bbtfleet.HostID]bbtfleet.Version),
		unownedTime:            make(map[bbtfleet.EndpointID]time.Duration),
		partitionedAt:          make(map[hostPair]time.Time),
		onDeathDetected:        func(*host, bbtfleet.HostID) {},
		onConfigurationApplied: func(*host) {},
		onServing:              func(*host) {},
	}
}

// addViolation records a violation.
func (c *checks) addViolation(w *world, format string, args ...any) {
	at := w.now.Sub(time.Unix(0, 0))
	c.violations = append(c.violations, fmt.Sprintf("%v: ", at)+fmt.Sprintf(format, args...))
}

// hostStarted records the oldest version that is active on the other serving hosts.
func (c *checks) hostStarted(h *host) {
	var minVersion bbtfleet.Version
	for _, other := range h.world.runningHosts() {
		if other == h || !other.view.Serving() {
			continue
		}
		if v := other.view.Version(); minVersion == (bbtfleet.Version{}) || minVersion.Newer(v) {
			minVersion = v
		}
	}
	c.minVersion[h.id] = minVersion
	delete(c.lastVersion, h.id)
}

// servingStarted checks that a host does not start serving with a configuration
// older than those of all hosts that served when it started.
func (c *checks) servingStarted(h *host) {
	if v := h.view.Version(); c.minVersion[h.id].Newer(v) {
		c.addViolation(h.world, "%s starts to serve with configuration %v, older than %v, the oldest of the hosts that served when it started", h.id, v, c.minVersion[h.id])
	}
	c.onServing(h)
}

// configurationApplied checks that a host replaces its configuration only with a
// newer one.
func (c *checks) configurationApplied(h *host) {
	v := h.view.Version()
	if lastVersion, ok := c.lastVersion[h.id]; ok && !v.Newer(lastVersion) {
		c.addViolation(h.world, "%s replaced configuration %v by %v, which is not newer", h.id, lastVersion, v)
	}
	c.lastVersion[h.id] = v
	c.onConfigurationApplied(h)
}

// stateChanged counts hosts that are declared dead while running, not frozen and
// reachable.
func (c *checks) stateChanged(h *host, a bbtmember.StateChanged) {
	if a.State != bbtmember.Dead {
		return
	}
	w := h.world
	other := w.byID[a.Host]
	if other.running && !other.frozenUntil.After(w.now) && !w.blocked(h.id, a.Host) && !w.blocked(a.Host, h.id) {
		c.falseAlarms++
	}
	c.onDeathDetected(h, a.Host)
}

// falselyDeadPairs returns the number of pairs in which a host considers another
// listed host dead although both run and can reach each other.
func (w *world) falselyDeadPairs() int {
	n := 0
	for _, h := range w.runningHosts() {
		for _, other := range w.runningHosts() {
			if !other.unlisted && !w.blocked(h.id, other.id) && !w.blocked(other.id, h.id) && h.detector.State(other.id) == bbtmember.Dead {
				n++
			}
		}
	}
	return n
}

// sample checks the rights to all endpoints and adds period to the unowned time
// of endpoints to which no host has rights.
func (c *checks) sample(w *world, period time.Duration) {
	sums := make(map[bbtfleet.EndpointID]int)
	for _, h := range w.runningHosts() {
		for _, id := range h.rights.Endpoints(w.now) {
			sums[id] += h.slots(id)
		}
	}
	for _, e := range w.endpoints {
		sum := sums[e.ID()]
		c.maxExcess = max(c.maxExcess, sum-e.Slots())
		if sum > e.Slots() {
			c.checkExcess(w, e)
		}
		if sum > 0 {
			c.unownedTime[e.ID()] = 0
			continue
		}
		c.unownedTime[e.ID()] += period
		c.longestUnowned = max(c.longestUnowned, c.unownedTime[e.ID()])
	}
}

type hostPair struct{ a, b bbtfleet.HostID }

// checkExcess checks that rights do not exceed an endpoint's slots. Two hosts that
// are partitioned while only one has the newer host list cannot know of each
// other's rights, so each host is checked together with the hosts that it is not
// partitioned from.
func (c *checks) checkExcess(w *world, e bbtfleet.Endpoint) {
	var holders []*host
	for _, h := range w.runningHosts() {
		if h.slots(e.ID()) > 0 {
			holders = append(holders, h)
		}
	}
	for _, h := range holders {
		sum := 0
		var descriptions []string
		for _, other := range holders {
			if c.partitioned(w, h, other) {
				continue
			}
			n := other.slots(e.ID())
			sum += n
			descriptions = append(descriptions, fmt.Sprintf("%s: %d under host list %d", other.id, n, other.view.Hosts().Revision()))
		}
		if sum > e.Slots() {
			c.addViolation(w, "%s has %d slots, hosts hold rights to %d: %v", e.ID(), e.Slots(), sum, descriptions)
		}
	}
}

// partitioned reports whether this call, or one within the last listSpread plus
// bbtowner.TakeoverDelay, found that two hosts could not reach each other and had
// different host lists or had applied the same list more than listSpread apart.
func (c *checks) partitioned(w *world, h, other *host) bool {
	cut := w.blocked(h.id, other.id) || w.blocked(other.id, h.id)
	listsDiffer := h.view.Hosts().Revision() != other.view.Hosts().Revision() || h.listAppliedAt.Sub(other.listAppliedAt).Abs() > listSpread
	key := hostPair{h.id, other.id}
	if cut && listsDiffer {
		c.partitionedAt[key] = w.now
	}
	at, ok := c.partitionedAt[key]
	return ok && w.now.Sub(at) <= listSpread+bbtowner.TakeoverDelay
}
