package bbtworld

import (
	"slices"
	"time"

	"bluebelltray/core/bbtexec"
)

// Relative weights of the kinds of steps in the random choice.
const (
	weightWork  = 14
	weightFault = 1
)

// stepKind is one kind of simulation step.
type stepKind struct {
	weight     int
	fault      Faults // fault kind that enables the step; zero for steps that are always enabled
	isPossible func() bool
	run        func()
}

// Run takes n steps, or fewer if an invariant is violated.
func (w *World) Run(n int) {
	stepKinds := w.stepKinds()
	for range n {
		if w.violation != nil {
			return
		}
		w.takeStep(stepKinds)
	}
}

// takeStep takes one random step among those that are currently possible.
func (w *World) takeStep(stepKinds []stepKind) {
	total := 0
	var possible []stepKind
	for _, k := range stepKinds {
		if (k.fault == 0 || w.faults.has(k.fault)) && k.isPossible() {
			possible = append(possible, k)
			total += k.weight
		}
	}
	remaining := w.choose.IntN(total)
	for _, k := range possible {
		if remaining -= k.weight; remaining < 0 {
			k.run()
			return
		}
	}
}

// stepKinds returns all kinds of steps.
func (w *World) stepKinds() []stepKind {
	always := func() bool { return true }
	// Without Reorder, time advances only when no message is in flight.
	canAdvance := func() bool { return w.faults.has(Reorder) || len(w.inFlight) == 0 }
	return []stepKind{
		{weightWork, 0, func() bool { return len(w.openRequests()) < maxOpenRequests }, w.offer},
		{weightWork, 0, func() bool { return len(w.idleRequests()) > 0 }, w.randomAttempt},
		{2 * weightWork, 0, func() bool { return len(w.inFlight) > 0 }, w.deliver},
		{weightWork, 0, func() bool { return len(w.nodesWithWaitingCalls()) > 0 }, w.randomDispatch},
		{weightWork, 0, func() bool { return len(w.committed) > 0 }, w.sendFirstByte},
		{weightWork, 0, func() bool { return len(w.running) > 0 }, w.finishDispatch},
		{weightWork, StaleReads, always, w.randomRead},
		{weightWork, StaleReads, func() bool { return len(w.reads) > 0 }, w.finishRead},
		{weightWork, 0, canAdvance, func() { w.advance(time.Duration(w.choose.IntN(5)) * tick) }},
		{weightFault, 0, canAdvance, func() { w.advance(time.Duration(w.choose.IntN(3)) * ticketLifetime / 2) }},
		{weightFault, ForgetfulCallers, func() bool { return len(w.openRequests()) > 0 }, w.randomResend},
		{weightFault, Rejections, func() bool { return len(w.nodesWithWaitingCalls()) > 0 }, w.randomRejection},
		{weightFault, Membership, always, w.publish},
		{weightFault, Kills, always, w.randomKill},
		{weightFault, Pauses, always, w.randomPause},
		{weightFault, Partitions, always, w.randomPartition},
		{weightFault, Partitions, always, w.randomDisconnect},
		{weightWork / 2, Kills, always, w.randomPeerContact},
		{weightWork, 0, func() bool { return len(w.disconnections) > 0 }, w.detectDisconnection},
		{weightWork / 2, 0, func() bool { return len(w.stoppedNodes()) > 0 }, w.randomRecovery},
	}
}

// openRequests returns the requests that are not done.
func (w *World) openRequests() []*request {
	return slices.DeleteFunc(slices.Clone(w.requests), func(r *request) bool { return r.done })
}

// idleRequests returns the open requests that have no current attempt, or whose attempt
// is at a process that no longer exists.
func (w *World) idleRequests() []*request {
	return slices.DeleteFunc(w.openRequests(), func(r *request) bool {
		return r.host != nil && r.host.alive && r.host.incarnation == r.incarnation
	})
}

// stoppedNodes returns the hosts whose process is dead or paused.
func (w *World) stoppedNodes() []*node {
	return slices.DeleteFunc(slices.Clone(w.nodes), (*node).isRunning)
}

func (w *World) randomAttempt() {
	r, _ := pick(w, w.idleRequests())
	w.attempt(r)
}

func (w *World) randomResend() {
	r, _ := pick(w, w.openRequests())
	w.attempt(r)
}

func (w *World) randomDispatch() {
	n, _ := pick(w, w.nodesWithWaitingCalls())
	w.commitDispatch(n)
}

func (w *World) randomRejection() {
	n, _ := pick(w, w.nodesWithWaitingCalls())
	w.reject(n)
}

func (w *World) randomRead() {
	if n, _ := pick(w, w.nodes); n.isRunning() {
		w.startRead(n)
	}
}

func (w *World) randomKill() {
	n, _ := pick(w, w.nodes)
	if !n.alive {
		return
	}
	for _, o := range w.nodes {
		if o != n {
			w.disconnect(o, n)
		}
	}
	n.alive = false
}

func (w *World) randomPause() {
	if n, _ := pick(w, w.nodes); n.alive {
		n.paused = true
	}
}

// randomRecovery resumes a paused process or restarts a dead one.
func (w *World) randomRecovery() {
	n, _ := pick(w, w.stoppedNodes())
	if !n.alive {
		w.start(n)
	}
	n.paused = false
}

// randomPartition partitions a link or heals it.
func (w *World) randomPartition() {
	a, i := pick(w, w.nodes)
	b := w.nodes[(i+1+w.choose.IntN(len(w.nodes)-1))%len(w.nodes)]
	w.partitioned[linkOf(a, b)] = !w.partitioned[linkOf(a, b)]
}

// randomPeerContact makes a process learn the incarnation of a peer's process.
func (w *World) randomPeerContact() {
	n, _ := pick(w, w.nodes)
	o, _ := pick(w, w.nodes)
	if n.isRunning() && o.alive && n != o && !w.partitioned[linkOf(n, o)] {
		w.handleEvent(n, bbtexec.PeerIncarnation{Host: o.id, Incarnation: o.incarnation})
	}
}

func (w *World) randomDisconnect() {
	n, _ := pick(w, w.nodes)
	if o, _ := pick(w, w.nodes); n != o {
		w.disconnect(n, o)
	}
}

// advance advances the time and sends a tick to all running processes.
func (w *World) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, n := range w.nodes {
		if n.isRunning() {
			w.handleEvent(n, bbtexec.Tick{})
			w.refresh(n)
		}
	}
}
