package bbtsuspect

import (
	"maps"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
)

// ClaimResponseTimeout is how long a guard may take to answer before the next host in
// order is asked, and HandoverDelay how long a new guard waits for what others
// know of its requests.
const (
	ClaimResponseTimeout = time.Second
	HandoverDelay        = time.Second
)

// Agent keeps one host to the fleet's bound on crashing requests: it asks the
// guards of its calls, is a guard itself, and tells the guards of deaths. It is
// not safe for concurrent use.
type Agent struct {
	self       bbtfleet.HostID
	inc        bbtfleet.Incarnation
	suspicions *Suspects
	tracker    *Tracker
	guard      *Coordinator
	places     placements
	calls      map[CallID]*flight
	out        []Action
}

// flight is one call that is not over.
type flight struct {
	print     Fingerprint
	treatment DispatchMode
	asked     time.Time
	to        bbtfleet.HostID // guard that was asked
	endpoint  bbtfleet.EndpointID
}

// NewAgent returns the agent of a process that has just started.
func NewAgent(self bbtfleet.HostID, inc bbtfleet.Incarnation, rank HostSelector) *Agent {
	s := &Suspects{}
	return &Agent{
		self:       self,
		inc:        inc,
		suspicions: s,
		tracker:    NewTracker(s),
		guard:      NewCoordinator(s),
		places:     placements{rank: rank, unreachable: make(map[bbtfleet.HostID]bool)},
		calls:      make(map[CallID]*flight),
	}
}

// Step takes an event and returns the actions it causes, in order.
func (a *Agent) Step(now time.Time, ev Event) []Action {
	a.out = nil
	switch ev := ev.(type) {
	case AdmissionRequested:
		a.calls[ev.Call] = &flight{print: ev.Fingerprint}
		a.ask(now, ev.Call)
	case DispatchStarted:
		a.begin(ev)
	case CallEnded:
		a.end(now, ev)
	case EndpointCrashed:
		a.died(now, ev.Crash)
	case MessageReceived:
		a.received(now, ev)
	case HostUnreachable:
		a.unreachable(now, ev)
	case HostsChanged:
		a.places.listed = slices.Clone(ev.Hosts)
		a.moved(now)
	case Tick:
		a.tick(now)
	}
	return a.out
}

// ask claims a call at its guard.
func (a *Agent) ask(now time.Time, id CallID) {
	c := a.calls[id]
	if a.suspicions.DispatchMode(now, c.print) == Banned {
		a.refuse(id)
		return
	}
	c.asked = now
	c.to = a.places.guard(c.print)
	claim := Claim{Fingerprint: c.print, Attempt: a.copy(id)}
	switch c.to {
	case "":
	case a.self:
		a.granted(now, id, a.decide(now, claim).DispatchMode)
	default:
		a.send(c.to, claim)
	}
}

// decide answers a claim as the request's guard.
func (a *Agent) decide(now time.Time, c Claim) Grant {
	if age, is := a.places.age(now, a.self, c.Fingerprint); !is || age < HandoverDelay {
		return Grant{Fingerprint: c.Fingerprint, Attempt: c.Attempt, DispatchMode: Hold}
	}
	return a.guard.Decide(now, c, a.places.settled(now, a.self, c.Fingerprint))
}

// granted takes a guard's answer for a call. A call that is held is asked for
// again at the next tick.
func (a *Agent) granted(now time.Time, id CallID, t DispatchMode) {
	c := a.calls[id]
	switch t {
	case Free, Isolated:
		c.treatment = t
		a.out = append(a.out, Admit{Call: id, DispatchMode: t})
	case Banned:
		a.refuse(id)
	default:
		c.asked = now
		c.to = ""
	}
}

// refuse ends a call that is banned.
func (a *Agent) refuse(id CallID) {
	delete(a.calls, id)
	a.out = append(a.out, Refuse{Call: id})
}

// begin records where a call is dispatched.
func (a *Agent) begin(ev DispatchStarted) {
	if c := a.calls[ev.Call]; c != nil {
		c.endpoint = ev.Endpoint
		a.tracker.Begin(ev.Endpoint, c.print)
	}
}

// end releases a call's claim.
func (a *Agent) end(now time.Time, ev CallEnded) {
	c := a.calls[ev.Call]
	if c == nil {
		return
	}
	delete(a.calls, ev.Call)
	if c.endpoint != "" {
		a.tracker.End(c.endpoint, c.print, c.treatment == Isolated, ev.Complete)
	}
	a.release(now, c, Release{Fingerprint: c.print, Attempt: a.copy(ev.Call), Complete: ev.Complete})
}

// died releases the calls that were in flight on an endpoint and tells the
// host that would follow each guard.
func (a *Agent) died(now time.Time, crash Crash) {
	a.tracker.Crashed(now, crash)
	for _, id := range slices.Sorted(maps.Keys(a.calls)) {
		c := a.calls[id]
		if c.endpoint != crash.Endpoint {
			continue
		}
		delete(a.calls, id)
		a.release(now, c, Release{Fingerprint: c.print, Attempt: a.copy(id), Crash: &crash})
		a.tell(a.places.follower(c.print), Notice{Fingerprint: c.print, Crash: crash, RemainingMS: SuspectTTL.Milliseconds()})
	}
}

// release tells the guard that admitted a call, and the one of now if that is
// another.
func (a *Agent) release(now time.Time, c *flight, r Release) {
	guard := a.places.guard(c.print)
	for _, to := range slices.Compact([]bbtfleet.HostID{c.to, guard}) {
		if to == a.self {
			a.guard.Release(now, r)
		} else if to != "" {
			a.send(to, r)
		}
	}
}

// copy identifies a call to guards.
func (a *Agent) copy(id CallID) Attempt {
	return Attempt{Host: a.self, Incarnation: a.inc, ID: uint64(id)}
}

// send adds a message.
func (a *Agent) send(to bbtfleet.HostID, m Message) {
	a.out = append(a.out, Send{To: to, Message: m})
}

// tell sends a notice to another host.
func (a *Agent) tell(to bbtfleet.HostID, n Notice) {
	if to != "" && to != a.self {
		a.send(to, n)
	}
}
