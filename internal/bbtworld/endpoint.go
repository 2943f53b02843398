package bbtworld

import (
	"fmt"
	"slices"

	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtledger"
	"bluebelltray/core/bbtverdict"
)

// write is a dispatch that passed the check and has yet to write, or runs.
type write struct {
	node     *node
	inc      bbtfleet.Incarnation
	call     bbtexec.CallID
	dispatch bbtledger.Dispatch
	request  *request
}

// current reports whether the process that dispatched still lives.
func (x write) current() bool { return x.node.alive && x.node.inc == x.inc }

// check lets a host pass the point of no return for a call that waits.
func (w *World) check(n *node) {
	id, i := pick(w, n.runnable)
	n.runnable = drop(n.runnable, i)
	d, ok := n.exec.Dispatch(w.now, id)
	if !ok {
		w.step(n, bbtexec.Rejected{Call: id, Reason: bbtverdict.ReasonDeadlineUnreachable})
		return
	}
	w.writes = append(w.writes, write{node: n, inc: n.inc, call: id, dispatch: d, request: n.calls[id]})
}

// write lets the first byte of a checked dispatch leave, or fail to.
func (w *World) write() {
	x, i := pick(w, w.writes)
	if x.current() && x.node.paused {
		return
	}
	w.writes = drop(w.writes, i)
	if !x.current() {
		return
	}
	if w.faults.has(EndpointFailures) && w.chance(4) {
		w.step(x.node, bbtexec.NotExecuted{Call: x.call, Dispatch: x.dispatch})
		return
	}
	x.request.run(w)
	w.running = append(w.running, x)
}

// finish ends a dispatch at its endpoint.
func (w *World) finish() {
	x, i := pick(w, w.running)
	if x.current() && x.node.paused {
		return
	}
	w.running = drop(w.running, i)
	if !x.current() {
		return
	}
	if w.faults.has(EndpointFailures) && w.chance(3) {
		reason := bbtverdict.ReasonEndpointLost
		w.step(x.node, bbtexec.Lost{Call: x.call, Dispatch: x.dispatch, Reason: reason})
		return
	}
	answer := bbtledger.NewResponse(200, "text/plain", []byte(x.request.answer()))
	done := bbtexec.Finished{Call: x.call, Dispatch: x.dispatch, Response: answer}
	w.step(x.node, done)
	if w.faults.has(Reorder) && w.chance(4) {
		w.step(x.node, done)
	}
}

// reject lets the scheduler refuse a call that waits.
func (w *World) reject(n *node) {
	id, _ := pick(w, n.runnable)
	n.unqueue(id)
	w.step(n, bbtexec.Rejected{Call: id, Reason: bbtverdict.ReasonPoolFull})
}

// run counts an execution by an endpoint.
func (r *request) run(w *World) {
	r.runs++
	if r.runs > 1 {
		w.fail("request %d ran %d times", r.id, r.runs)
	}
	if r.abandoned {
		w.fail("request %d ran after its caller was told that it did not", r.id)
	}
}

// answer returns the body of the request's answer.
func (r *request) answer() string { return fmt.Sprintf("answer to %d", r.id) }

// withWork returns the hosts that take steps and have calls that wait.
func (w *World) withWork() []*node {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool {
		return !n.able() || len(n.runnable) == 0
	})
}
