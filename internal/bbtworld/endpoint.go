package bbtworld

import (
	"fmt"
	"slices"

	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtledger"
	"bluebelltray/core/bbtverdict"
)

// dispatchedCall is a call whose dispatch is recorded in the ledger. It either has yet to
// send its first byte or is running at its endpoint.
type dispatchedCall struct {
	node        *node
	incarnation bbtfleet.Incarnation
	call        bbtexec.CallID
	dispatch    bbtledger.Dispatch
	request     *request
}

// current reports whether the process that dispatched the call is still alive.
func (x dispatchedCall) current() bool { return x.node.alive && x.node.incarnation == x.incarnation }

// commitDispatch records the dispatch of a random waiting call on host n. After
// that the call may run.
func (w *World) commitDispatch(n *node) {
	id, i := pick(w, n.waiting)
	n.waiting = remove(n.waiting, i)
	d, ok := n.exec.Dispatch(w.now, id)
	if !ok {
		w.handleEvent(n, bbtexec.Rejected{Call: id, Reason: bbtverdict.ReasonDeadlineUnreachable})
		return
	}
	w.committed = append(w.committed, dispatchedCall{node: n, incarnation: n.incarnation, call: id, dispatch: d, request: n.calls[id]})
}

// sendFirstByte sends the first byte of a recorded dispatch, or fails before it if
// endpoint failures are simulated.
func (w *World) sendFirstByte() {
	x, i := pick(w, w.committed)
	if x.current() && x.node.paused {
		return
	}
	w.committed = remove(w.committed, i)
	if !x.current() {
		return
	}
	if w.faults.has(EndpointFailures) && w.oneIn(4) {
		w.handleEvent(x.node, bbtexec.NotExecuted{Call: x.call, Dispatch: x.dispatch})
		return
	}
	x.request.countRun(w)
	w.running = append(w.running, x)
}

// finishDispatch ends a running dispatch with a response or an endpoint failure.
func (w *World) finishDispatch() {
	x, i := pick(w, w.running)
	if x.current() && x.node.paused {
		return
	}
	w.running = remove(w.running, i)
	if !x.current() {
		return
	}
	if w.faults.has(EndpointFailures) && w.oneIn(3) {
		reason := bbtverdict.ReasonEndpointLost
		w.handleEvent(x.node, bbtexec.Lost{Call: x.call, Dispatch: x.dispatch, Reason: reason})
		return
	}
	response := bbtledger.NewResponse(200, "text/plain", []byte(x.request.response()))
	done := bbtexec.Finished{Call: x.call, Dispatch: x.dispatch, Response: response}
	w.handleEvent(x.node, done)
	if w.faults.has(Reorder) && w.oneIn(4) {
		w.handleEvent(x.node, done)
	}
}

// reject makes the scheduler reject a random waiting call.
func (w *World) reject(n *node) {
	id, _ := pick(w, n.waiting)
	n.unqueue(id)
	w.handleEvent(n, bbtexec.Rejected{Call: id, Reason: bbtverdict.ReasonPoolFull})
}

// countRun counts an execution and records a violation if the request must not run.
func (r *request) countRun(w *World) {
	r.runs++
	if r.runs > 1 {
		w.fail("request %d ran %d times", r.id, r.runs)
	}
	if r.abandoned {
		w.fail("request %d ran after it was refused as not-run and abandoned", r.id)
	}
}

// response returns the body of the request's response.
func (r *request) response() string { return fmt.Sprintf("answer to %d", r.id) }

// nodesWithWaitingCalls returns the running hosts that have waiting calls.
func (w *World) nodesWithWaitingCalls() []*node {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool {
		return !n.isRunning() || len(n.waiting) == 0
	})
}
