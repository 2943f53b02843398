package bbtexec

import (
	"slices"
	"time"

	"bluebelltray/core/bbtledger"
	"bluebelltray/core/bbtverdict"
)

// notExecuted reschedules a call whose dispatch provably did not run, unless all
// its callers have disconnected.
func (e *Executor) notExecuted(ev NotExecuted) {
	c := e.calls[ev.Call]
	switch {
	case c == nil:
		e.counts.staleOutcomes++
	case c.repeatable:
		e.emit(Schedule{Call: c.id})
	case !e.ledger.Retract(c.seq, ev.Dispatch):
		e.counts.staleOutcomes++
	case e.allCallersGone(c.seq):
		e.withdraw(c)
	default:
		e.emit(Schedule{Call: c.id})
	}
}

// finished records a complete response and delivers it to each attached call.
func (e *Executor) finished(ev Finished) {
	c := e.calls[ev.Call]
	if c == nil || !e.accept(c, ev.Dispatch, ev.Response) {
		e.counts.staleOutcomes++
		return
	}
	for _, a := range e.detachAll(c) {
		e.respond(a, ev.Response)
	}
}

// accept records a response and reports whether it is from the current dispatch.
func (e *Executor) accept(c *call, d bbtledger.Dispatch, r bbtledger.Response) bool {
	if c.repeatable {
		return c.dispatch == d
	}
	return e.ledger.Finish(c.seq, d, r)
}

// lost refuses the calls of a dispatch that ended without a complete response.
func (e *Executor) lost(ev Lost) {
	c := e.calls[ev.Call]
	if c == nil || !e.markUnknown(c, ev.Dispatch) {
		e.counts.staleOutcomes++
		return
	}
	for _, a := range e.detachAll(c) {
		e.refuse(a, mayHaveRun(ev.Reason))
	}
}

// markUnknown records that the outcome of a dispatch is unknown and reports
// whether the dispatch is the current one.
func (e *Executor) markUnknown(c *call, d bbtledger.Dispatch) bool {
	if c.repeatable {
		return c.dispatch == d
	}
	return e.ledger.MarkUnknown(c.seq, d)
}

// rejected refuses the calls of a request that the scheduler rejected. It voids
// the ticket first, as the request could otherwise still run when it is resent
// with the ticket.
func (e *Executor) rejected(now time.Time, ev Rejected) {
	c := e.calls[ev.Call]
	if c == nil {
		return
	}
	r := notRun(ev.Reason)
	r.retryAfter = ev.RetryAfter
	if c.repeatable {
		e.refuse(c, r)
		return
	}
	if !e.ledger.Void(c.seq, c.account) {
		return
	}
	r = e.renew(now, c, r)
	for _, a := range e.detachAll(c) {
		e.refuse(a, r)
	}
}

// callerDisconnected removes a call whose caller disconnected. A request that
// still waits and has no other caller is withdrawn. One that was dispatched runs
// to completion, so that a resend gets its response.
func (e *Executor) callerDisconnected(id CallID) {
	c := e.calls[id]
	if c == nil {
		return
	}
	if c.repeatable {
		e.emit(Cancel{Call: id})
		delete(e.calls, id)
		return
	}
	c.callerGone = true
	if c.seq == 0 {
		e.cancelPending(c)
		return
	}
	if e.ledger.State(c.seq, c.account) == bbtledger.Waiting && e.allCallersGone(c.seq) {
		e.withdraw(c)
		return
	}
	e.detachCall(c)
}

// detachCall removes a call from its ledger entry, unless it is the call that
// was scheduled.
func (e *Executor) detachCall(c *call) {
	ids := e.attached[c.seq]
	if ids[0] == c.id {
		return
	}
	e.attached[c.seq] = slices.DeleteFunc(ids, func(id CallID) bool { return id == c.id })
	delete(e.calls, c.id)
}

// withdraw cancels a waiting request whose callers have all disconnected.
func (e *Executor) withdraw(c *call) {
	e.ledger.Withdraw(c.seq, c.account)
	ids := e.attached[c.seq]
	e.detachAll(c)
	e.emit(Cancel{Call: ids[0]})
}

// allCallersGone reports whether all callers of a ledger entry have
// disconnected.
func (e *Executor) allCallersGone(seq uint64) bool {
	for _, id := range e.attached[seq] {
		if !e.calls[id].callerGone {
			return false
		}
	}
	return true
}

// detachAll detaches all calls from the ledger entry of c and returns those
// whose caller is still connected. For a repeatable call it returns only c.
func (e *Executor) detachAll(c *call) []*call {
	if c.repeatable {
		return []*call{c}
	}
	var waiting []*call
	for _, id := range e.attached[c.seq] {
		if a := e.calls[id]; a.callerGone {
			delete(e.calls, id)
		} else {
			waiting = append(waiting, a)
		}
	}
	delete(e.attached, c.seq)
	return waiting
}

// respond ends a call with a response.
func (e *Executor) respond(c *call, r bbtledger.Response) {
	delete(e.calls, c.id)
	if c.origin.local() {
		e.emit(Response{Call: c.id, Response: r})
		return
	}
	e.emit(Send{To: c.origin.host, Message: ForwardReply{
		Request:     c.origin.request,
		Verdict:     bbtverdict.Ran,
		Status:      r.Status(),
		ContentType: r.ContentType(),
		Body:        r.Body(),
	}})
}

// refuse ends a call without a response.
func (e *Executor) refuse(c *call, r refusal) {
	delete(e.calls, c.id)
	if c.origin.local() {
		e.emit(Refuse{Call: c.id, Err: r.err(), Ticket: r.ticket})
		return
	}
	e.emit(Send{To: c.origin.host, Message: ForwardReply{
		Request:      c.origin.request,
		Verdict:      r.verdict,
		Reason:       r.reason,
		RetryAfterMS: r.retryAfter.Milliseconds(),
		Ticket:       r.ticket,
	}})
}
