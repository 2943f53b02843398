package bbtworld

import (
	"fmt"
	"time"

	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtverdict"
)

// The bounds of the callers.
const (
	maxOpen  = 6
	accounts = 2
)

// request is one non-idempotent request and its honest caller.
type request struct {
	id        int
	account   bbtfleet.AccountID
	key       string // empty if the caller uses none
	counted   bool   // the caller counts its attempts
	ticket    string
	presented bool // a ticket was presented and not proved void since
	sent      bool
	began     time.Time
	runs      int
	done      bool // answered, or given up
	abandoned bool // given up after a refusal not-run

	at   *node // host of the current attempt; nil if none
	inc  bbtfleet.Incarnation
	call bbtexec.CallID
}

// offer starts a new request.
func (w *World) offer() {
	r := &request{id: len(w.requests), began: w.now}
	r.account = bbtfleet.AccountID(fmt.Sprintf("account-%d", w.choose.IntN(accounts)))
	r.counted = w.chance(2)
	if !w.chance(4) {
		r.key = fmt.Sprintf("key-%d", r.id)
	}
	w.requests = append(w.requests, r)
	w.tally.Requests++
}

// attempt sends a request to a host, after the caller left the former attempt.
func (w *World) attempt(r *request) {
	if r.key != "" && w.now.Sub(r.began) >= window {
		r.done = true
		return
	}
	w.leave(r)
	n, _ := pick(w, w.nodes)
	if !n.alive {
		return
	}
	if w.faults.has(ForgetfulCallers) && r.key != "" && w.chance(5) {
		r.ticket = ""
	}
	w.tally.attempt(r)
	w.nextCall++
	r.at, r.inc, r.call = n, n.inc, w.nextCall
	n.calls[r.call] = r
	first := r.counted && !r.presented
	if r.ticket != "" {
		r.presented = true
	}
	submit := bbtexec.Submit{
		Call:           r.call,
		Account:        r.account,
		Ticket:         r.ticket,
		Key:            r.key,
		Fingerprint:    uint64(r.id),
		IsFirstAttempt: first,
		Uncounted:      !r.counted,
	}
	if n.paused {
		r.at = nil // the caller waits in vain
		return
	}
	w.step(n, submit)
}

// leave ends the caller's current attempt; its host may not notice.
func (w *World) leave(r *request) {
	n := r.at
	r.at = nil
	if n != nil && n.able() && n.inc == r.inc && w.chance(2) {
		w.step(n, bbtexec.CallerDisconnected{Call: r.call})
	}
}

// waitsFor reports whether the caller still waits for the call.
func (r *request) waitsFor(n *node, id bbtexec.CallID) bool {
	return r.at == n && r.inc == n.inc && r.call == id
}

// answered checks an answer that reaches a caller.
func (w *World) answered(n *node, a bbtexec.Response) {
	r := n.calls[a.Call]
	if !r.waitsFor(n, a.Call) {
		return
	}
	r.at = nil
	r.done = true
	w.tally.Responses++
	if got := string(a.Response.Body()); got != r.answer() || r.runs != 1 {
		w.fail("request %d ran %d times and got %q", r.id, r.runs, got)
	}
}

// refused checks a refusal that reaches a caller.
func (w *World) refused(n *node, a bbtexec.Refuse) {
	r := n.calls[a.Call]
	if !r.waitsFor(n, a.Call) {
		return
	}
	r.at = nil
	if !r.sent && a.Ticket == "" {
		w.tally.FirstRefused++
	}
	r.sent = true
	switch a.Err.Verdict() {
	case bbtverdict.NotRun:
		w.refusedNotRun(r, a)
	case bbtverdict.MayHaveRun:
		w.tally.mayHaveRun(r)
		r.done = w.chance(4)
	case bbtverdict.Ran:
		if r.runs != 1 {
			w.fail("request %d was said to have run but ran %d times", r.id, r.runs)
		}
		r.done = true
	}
}

// refusedNotRun checks that a request did not run. Its caller gives up at
// times; the request must not run then.
func (w *World) refusedNotRun(r *request, a bbtexec.Refuse) {
	if r.runs > 0 {
		w.fail("request %d ran but was refused as %v", r.id, a.Err)
	}
	if a.Err.Reason() == bbtverdict.ReasonTicketRequired {
		w.tally.TicketRequired++
	} else {
		w.tally.NotRun++
	}
	if r.key != "" || r.ticket == "" || a.Ticket != "" {
		r.ticket = a.Ticket
	}
	r.presented = false
	if w.chance(8) {
		r.done = true
		r.abandoned = true
	}
}
