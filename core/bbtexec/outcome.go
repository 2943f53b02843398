package bbtexec

import (
	"slices"
	"time"

	"bluebelltray/core/bbtledger"
	"bluebelltray/core/bbtverdict"
)

// notSent puts a call back that provably did not run.
func (e *Executor) notSent(ev NotExecuted) {
	c := e.calls[ev.Call]
	switch {
	case c == nil:
		e.counts.staleAnswers++
	case c.repeatable:
		e.do(Schedule{Call: c.id})
	case !e.ledger.Retract(c.seq, ev.Dispatch):
		e.counts.staleAnswers++
	case e.deserted(c.seq):
		e.abandon(c)
	default:
		e.do(Schedule{Call: c.id})
	}
}

// finished records a whole answer and delivers it to each attached call.
func (e *Executor) finished(ev Finished) {
	c := e.calls[ev.Call]
	if c == nil || !e.accept(c, ev.Dispatch, ev.Response) {
		e.counts.staleAnswers++
		return
	}
	for _, a := range e.detach(c) {
		e.answer(a, ev.Response)
	}
}

// accept records an answer and reports whether it is from the current
// dispatch.
func (e *Executor) accept(c *call, d bbtledger.Dispatch, a bbtledger.Response) bool {
	if c.repeatable {
		return c.dispatch == d
	}
	return e.ledger.Finish(c.seq, d, a)
}

// lost ends the calls of a dispatch that has no whole answer.
func (e *Executor) lost(ev Lost) {
	c := e.calls[ev.Call]
	if c == nil || !e.lose(c, ev.Dispatch) {
		e.counts.staleAnswers++
		return
	}
	for _, a := range e.detach(c) {
		e.refuse(a, mayHaveRun(ev.Reason))
	}
}

// lose records a lost dispatch and reports whether it is the current one.
func (e *Executor) lose(c *call, d bbtledger.Dispatch) bool {
	if c.repeatable {
		return c.dispatch == d
	}
	return e.ledger.MarkUnknown(c.seq, d)
}

// rejected ends the calls of a request that the scheduler refuses. Its ticket
// becomes void first, as only then not-run stays true.
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
	for _, a := range e.detach(c) {
		e.refuse(a, r)
	}
}

// callerGone forgets a call whose caller left. A request that still waits and
// has no other caller is withdrawn; one that was dispatched runs on, so that a
// resend gets its answer.
func (e *Executor) callerGone(id CallID) {
	c := e.calls[id]
	if c == nil {
		return
	}
	if c.repeatable {
		e.do(Cancel{Call: id})
		delete(e.calls, id)
		return
	}
	c.gone = true
	if c.seq == 0 {
		e.withdraw(c)
		return
	}
	if e.ledger.State(c.seq, c.account) == bbtledger.Waiting && e.deserted(c.seq) {
		e.abandon(c)
		return
	}
	e.leave(c)
}

// leave takes a call off its ledger entry unless it is the one that runs.
func (e *Executor) leave(c *call) {
	ids := e.attached[c.seq]
	if ids[0] == c.id {
		return
	}
	e.attached[c.seq] = slices.DeleteFunc(ids, func(id CallID) bool { return id == c.id })
	delete(e.calls, c.id)
}

// abandon withdraws a waiting request that no caller waits for.
func (e *Executor) abandon(c *call) {
	e.ledger.Withdraw(c.seq, c.account)
	ids := e.attached[c.seq]
	e.detach(c)
	e.do(Cancel{Call: ids[0]})
}

// deserted reports whether each caller of a ledger entry left.
func (e *Executor) deserted(seq uint64) bool {
	for _, id := range e.attached[seq] {
		if !e.calls[id].gone {
			return false
		}
	}
	return true
}

// detach ends the ledger entry's calls, or a repeatable call, and returns
// those whose caller still waits.
func (e *Executor) detach(c *call) []*call {
	if c.repeatable {
		return []*call{c}
	}
	var waiting []*call
	for _, id := range e.attached[c.seq] {
		if a := e.calls[id]; a.gone {
			delete(e.calls, id)
		} else {
			waiting = append(waiting, a)
		}
	}
	delete(e.attached, c.seq)
	return waiting
}

// answer ends a call with an answer.
func (e *Executor) answer(c *call, a bbtledger.Response) {
	delete(e.calls, c.id)
	if c.origin.local() {
		e.do(Response{Call: c.id, Response: a})
		return
	}
	e.do(Send{To: c.origin.host, Message: ForwardReply{
		Request:     c.origin.request,
		Verdict:     bbtverdict.Ran,
		Status:      a.Status(),
		ContentType: a.ContentType(),
		Body:        a.Body(),
	}})
}

// refuse ends a call without an answer.
func (e *Executor) refuse(c *call, r refusal) {
	delete(e.calls, c.id)
	if c.origin.local() {
		e.do(Refuse{Call: c.id, Err: r.err(), Ticket: r.ticket})
		return
	}
	e.do(Send{To: c.origin.host, Message: ForwardReply{
		Request:      c.origin.request,
		Verdict:      r.verdict,
		Reason:       r.reason,
		RetryAfterMS: r.retryAfter.Milliseconds(),
		Ticket:       r.ticket,
	}})
}
