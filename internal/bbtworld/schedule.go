package bbtworld

import (
	"slices"
	"time"

	"bluebelltray/core/bbtexec"
)

// The weights of a step's kinds.
const (
	weightWork  = 14
	weightFault = 1
)

// move is one kind of step.
type move struct {
	weight int
	fault  Faults // zero for a step that every run takes
	able   func() bool
	do     func()
}

// Run takes n steps or stops at the first broken promise.
func (w *World) Run(n int) {
	moves := w.moves()
	for range n {
		if w.fault != nil {
			return
		}
		w.one(moves)
	}
}

// one takes one step out of those that are possible.
func (w *World) one(moves []move) {
	total := 0
	var open []move
	for _, m := range moves {
		if (m.fault == 0 || w.faults.has(m.fault)) && m.able() {
			open = append(open, m)
			total += m.weight
		}
	}
	at := w.choose.IntN(total)
	for _, m := range open {
		if at -= m.weight; at < 0 {
			m.do()
			return
		}
	}
}

// moves returns the kinds of step.
func (w *World) moves() []move {
	always := func() bool { return true }
	quiet := func() bool { return w.faults.has(Reorder) || len(w.net) == 0 }
	return []move{
		{weightWork, 0, func() bool { return len(w.open()) < maxOpen }, w.offer},
		{weightWork, 0, func() bool { return len(w.idle()) > 0 }, w.anAttempt},
		{2 * weightWork, 0, func() bool { return len(w.net) > 0 }, w.deliver},
		{weightWork, 0, func() bool { return len(w.withWork()) > 0 }, w.aCheck},
		{weightWork, 0, func() bool { return len(w.writes) > 0 }, w.write},
		{weightWork, 0, func() bool { return len(w.running) > 0 }, w.finish},
		{weightWork, StaleReads, always, w.aRead},
		{weightWork, StaleReads, func() bool { return len(w.reads) > 0 }, w.finishRead},
		{weightWork, 0, quiet, func() { w.pass(time.Duration(w.choose.IntN(5)) * tick) }},
		{weightFault, 0, quiet, func() { w.pass(time.Duration(w.choose.IntN(3)) * lifetime / 2) }},
		{weightFault, ForgetfulCallers, func() bool { return len(w.open()) > 0 }, w.aResend},
		{weightFault, Rejections, func() bool { return len(w.withWork()) > 0 }, w.aRejection},
		{weightFault, Membership, always, w.publish},
		{weightFault, Kills, always, w.aKill},
		{weightFault, Pauses, always, w.aPause},
		{weightFault, Partitions, always, w.aCut},
		{weightFault, Partitions, always, w.aLostPeer},
		{weightWork / 2, Kills, always, w.aGreeting},
		{weightWork, 0, func() bool { return len(w.losses) > 0 }, w.notice},
		{weightWork / 2, 0, func() bool { return len(w.stopped()) > 0 }, w.aRecovery},
	}
}

// open returns the requests that are not done.
func (w *World) open() []*request {
	return slices.DeleteFunc(slices.Clone(w.requests), func(r *request) bool { return r.done })
}

// idle returns the open requests whose caller waits for nothing, or waits for
// a process that is no more.
func (w *World) idle() []*request {
	return slices.DeleteFunc(w.open(), func(r *request) bool {
		return r.at != nil && r.at.alive && r.at.inc == r.inc
	})
}

// stopped returns the hosts that are dead or paused.
func (w *World) stopped() []*node {
	return slices.DeleteFunc(slices.Clone(w.nodes), (*node).able)
}

func (w *World) anAttempt() {
	r, _ := pick(w, w.idle())
	w.attempt(r)
}

func (w *World) aResend() {
	r, _ := pick(w, w.open())
	w.attempt(r)
}

func (w *World) aCheck() {
	n, _ := pick(w, w.withWork())
	w.check(n)
}

func (w *World) aRejection() {
	n, _ := pick(w, w.withWork())
	w.reject(n)
}

func (w *World) aRead() {
	if n, _ := pick(w, w.nodes); n.able() {
		w.ask(n)
	}
}

func (w *World) aKill() {
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

func (w *World) aPause() {
	if n, _ := pick(w, w.nodes); n.alive {
		n.paused = true
	}
}

// aRecovery wakes a paused process or starts a new one in place of a dead one.
func (w *World) aRecovery() {
	n, _ := pick(w, w.stopped())
	if !n.alive {
		w.start(n)
	}
	n.paused = false
}

// aCut cuts a link or mends it.
func (w *World) aCut() {
	a, i := pick(w, w.nodes)
	b := w.nodes[(i+1+w.choose.IntN(len(w.nodes)-1))%len(w.nodes)]
	w.cut[linkOf(a, b)] = !w.cut[linkOf(a, b)]
}

// aGreeting lets a process learn the incarnation of a peer's process.
func (w *World) aGreeting() {
	n, _ := pick(w, w.nodes)
	o, _ := pick(w, w.nodes)
	if n.able() && o.alive && n != o && !w.cut[linkOf(n, o)] {
		w.step(n, bbtexec.PeerIncarnation{Host: o.id, Incarnation: o.inc})
	}
}

func (w *World) aLostPeer() {
	n, _ := pick(w, w.nodes)
	if o, _ := pick(w, w.nodes); n != o {
		w.disconnect(n, o)
	}
}

// pass lets time pass.
func (w *World) pass(d time.Duration) {
	w.now = w.now.Add(d)
	for _, n := range w.nodes {
		if n.able() {
			w.step(n, bbtexec.Tick{})
			w.refresh(n)
		}
	}
}
