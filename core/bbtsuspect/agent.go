package bbtsuspect

import (
	"maps"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
)

// Timeouts of an Agent.
const (
	// ClaimResponseTimeout is how long an agent waits for the answer to a claim
	// before it sends the claim again.
	ClaimResponseTimeout = time.Second
	// HandoverDelay is how long a new coordinator holds claims while it waits for
	// the notices of other hosts.
	HandoverDelay = time.Second
)

// Agent applies the fleet-wide limit on crashes by one request to the calls of
// one host. It asks the coordinator of each call's request to admit the call,
// coordinates requests itself, and reports crashes to the coordinators. It is
// not safe for concurrent use.
type Agent struct {
	self        bbtfleet.HostID
	incarnation bbtfleet.Incarnation
	suspects    *Suspects
	tracker     *Tracker
	coordinator *Coordinator
	hosts       history
	calls       map[CallID]*call
	actions     []Action
}

// call is the state of a call that has not ended.
type call struct {
	fingerprint  Fingerprint
	dispatchMode DispatchMode // Hold until a coordinator has admitted the call
	claimedAt    time.Time
	to           bbtfleet.HostID // coordinator that was asked to admit the call; empty if it must be asked again
	endpoint     bbtfleet.EndpointID
}

// NewAgent returns the agent of a process that has just started.
func NewAgent(self bbtfleet.HostID, incarnation bbtfleet.Incarnation, pick HostSelector) *Agent {
	s := &Suspects{}
	return &Agent{
		self:        self,
		incarnation: incarnation,
		suspects:    s,
		tracker:     NewTracker(s),
		coordinator: NewCoordinator(s),
		hosts:       history{pick: pick, unreachable: make(map[bbtfleet.HostID]bool)},
		calls:       make(map[CallID]*call),
	}
}

// Step handles an event and returns the resulting actions in order.
func (a *Agent) Step(now time.Time, ev Event) []Action {
	a.actions = nil
	switch ev := ev.(type) {
	case AdmissionRequested:
		a.calls[ev.Call] = &call{fingerprint: ev.Fingerprint}
		a.requestClaim(now, ev.Call)
	case DispatchStarted:
		a.startDispatch(ev)
	case CallEnded:
		a.endCall(now, ev)
	case EndpointCrashed:
		a.handleCrash(now, ev.Crash)
	case MessageReceived:
		a.handleMessage(now, ev)
	case HostUnreachable:
		a.handleUnreachable(now, ev)
	case HostsChanged:
		a.hosts.listed = slices.Clone(ev.Hosts)
		a.updateHosts(now)
	case Tick:
		a.tick(now)
	}
	return a.actions
}

// requestClaim asks the coordinator of a call's request to admit the call.
func (a *Agent) requestClaim(now time.Time, id CallID) {
	c := a.calls[id]
	if a.suspects.DispatchMode(now, c.fingerprint) == Banned {
		a.refuse(id)
		return
	}
	c.claimedAt = now
	c.to = a.hosts.coordinator(c.fingerprint)
	claim := Claim{Fingerprint: c.fingerprint, Attempt: a.attempt(id)}
	switch c.to {
	case "":
	case a.self:
		a.applyDecision(now, id, a.decide(now, claim).DispatchMode)
	default:
		a.send(c.to, claim)
	}
}

// decide answers a claim as the coordinator of the request.
func (a *Agent) decide(now time.Time, c Claim) ClaimResponse {
	if tenure, found := a.hosts.tenure(now, a.self, c.Fingerprint); !found || tenure < HandoverDelay {
		return ClaimResponse{Fingerprint: c.Fingerprint, Attempt: c.Attempt, DispatchMode: Hold}
	}
	return a.coordinator.Decide(now, c, a.hosts.settled(now, a.self, c.Fingerprint))
}

// applyDecision applies the decision of a coordinator to a call. If the call is
// held, the coordinator is asked again after ClaimResponseTimeout.
func (a *Agent) applyDecision(now time.Time, id CallID, mode DispatchMode) {
	c := a.calls[id]
	switch mode {
	case Free, Isolated:
		c.dispatchMode = mode
		a.actions = append(a.actions, Admit{Call: id, DispatchMode: mode})
	case Banned:
		a.refuse(id)
	default:
		c.claimedAt = now
		c.to = ""
	}
}

// refuse ends a call whose request is banned.
func (a *Agent) refuse(id CallID) {
	delete(a.calls, id)
	a.actions = append(a.actions, Refuse{Call: id})
}

// startDispatch records the endpoint that a call is dispatched to.
func (a *Agent) startDispatch(ev DispatchStarted) {
	if c := a.calls[ev.Call]; c != nil {
		c.endpoint = ev.Endpoint
		a.tracker.Begin(ev.Endpoint, c.fingerprint)
	}
}

// endCall releases the claim of a call.
func (a *Agent) endCall(now time.Time, ev CallEnded) {
	c := a.calls[ev.Call]
	if c == nil {
		return
	}
	delete(a.calls, ev.Call)
	if c.endpoint != "" {
		a.tracker.End(c.endpoint, c.fingerprint, c.dispatchMode == Isolated, ev.Complete)
	}
	a.release(now, c, Release{Fingerprint: c.fingerprint, Attempt: a.attempt(ev.Call), Complete: ev.Complete})
}

// handleCrash ends the calls that were in flight on an endpoint, releases their
// claims, and sends a notice of each to the successor of its coordinator.
func (a *Agent) handleCrash(now time.Time, crash Crash) {
	a.tracker.Crashed(now, crash)
	for _, id := range slices.Sorted(maps.Keys(a.calls)) {
		c := a.calls[id]
		if c.endpoint != crash.Endpoint {
			continue
		}
		delete(a.calls, id)
		a.release(now, c, Release{Fingerprint: c.fingerprint, Attempt: a.attempt(id), Crash: &crash})
		a.notify(a.hosts.successor(c.fingerprint), Notice{Fingerprint: c.fingerprint, Crash: crash, RemainingMS: SuspectTTL.Milliseconds()})
	}
}

// release ends the claim of a call at the coordinator that was asked to admit it
// and, if the coordinator has changed, also at the current one.
func (a *Agent) release(now time.Time, c *call, r Release) {
	coordinator := a.hosts.coordinator(c.fingerprint)
	for _, to := range slices.Compact([]bbtfleet.HostID{c.to, coordinator}) {
		if to == a.self {
			a.coordinator.Release(now, r)
		} else if to != "" {
			a.send(to, r)
		}
	}
}

// attempt returns the identifier of a call as coordinators know it.
func (a *Agent) attempt(id CallID) Attempt {
	return Attempt{Host: a.self, Incarnation: a.incarnation, ID: uint64(id)}
}

// send queues a message to a peer.
func (a *Agent) send(to bbtfleet.HostID, m Message) {
	a.actions = append(a.actions, Send{To: to, Message: m})
}

// notify sends a notice unless the recipient is empty or this host.
func (a *Agent) notify(to bbtfleet.HostID, n Notice) {
	if to != "" && to != a.self {
		a.send(to, n)
	}
}
