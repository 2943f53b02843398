package bbtworld

import (
	"fmt"
	"time"

	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtverdict"
)

// Size of the simulated load.
const (
	maxOpenRequests = 6
	accountCount    = 2
)

// request is one non-idempotent request and its caller, which resends with the ticket
// and key as bbtexec requires.
type request struct {
	id              int
	account         bbtfleet.AccountID
	key             string // empty if the caller sends none
	countsAttempts  bool   // whether the caller tracks its attempts and can state that one is the first
	ticket          string
	ticketPresented bool // a ticket was sent and no not-run refusal has been received since
	refusedBefore   bool
	offeredAt       time.Time
	runs            int
	done            bool // the caller makes no further attempt
	abandoned       bool // the caller stopped after a not-run refusal, so the request must not run

	host        *node // host of the current attempt; nil if none
	incarnation bbtfleet.Incarnation
	call        bbtexec.CallID
}

// offer adds a new request.
func (w *World) offer() {
	r := &request{id: len(w.requests), offeredAt: w.now}
	r.account = bbtfleet.AccountID(fmt.Sprintf("account-%d", w.choose.IntN(accountCount)))
	r.countsAttempts = w.oneIn(2)
	if !w.oneIn(4) {
		r.key = fmt.Sprintf("key-%d", r.id)
	}
	w.requests = append(w.requests, r)
	w.tally.Requests++
}

// attempt sends a request to a random host, after cancelling the previous attempt. The
// caller gives up a request with a key once resendWindow has passed.
func (w *World) attempt(r *request) {
	if r.key != "" && w.now.Sub(r.offeredAt) >= resendWindow {
		r.done = true
		return
	}
	w.cancelAttempt(r)
	n, _ := pick(w, w.nodes)
	if !n.alive {
		return
	}
	if w.faults.has(ForgetfulCallers) && r.key != "" && w.oneIn(5) {
		r.ticket = ""
	}
	w.tally.countAttempt(r)
	w.nextCall++
	r.host, r.incarnation, r.call = n, n.incarnation, w.nextCall
	n.calls[r.call] = r
	// An attempt after a not-run refusal counts as a first one again.
	first := r.countsAttempts && !r.ticketPresented
	if r.ticket != "" {
		r.ticketPresented = true
	}
	submit := bbtexec.Submit{
		Call:           r.call,
		Account:        r.account,
		Ticket:         r.ticket,
		Key:            r.key,
		Fingerprint:    uint64(r.id),
		IsFirstAttempt: first,
		Uncounted:      !r.countsAttempts,
	}
	if n.paused {
		r.host = nil // a paused process does not receive the request
		return
	}
	w.handleEvent(n, submit)
}

// cancelAttempt cancels the caller's current attempt. The host is notified only
// sometimes, and only if its process still runs.
func (w *World) cancelAttempt(r *request) {
	n := r.host
	r.host = nil
	if n != nil && n.isRunning() && n.incarnation == r.incarnation && w.oneIn(2) {
		w.handleEvent(n, bbtexec.CallerDisconnected{Call: r.call})
	}
}

// waitsFor reports whether the caller is still waiting for the call.
func (r *request) waitsFor(n *node, id bbtexec.CallID) bool {
	return r.host == n && r.incarnation == n.incarnation && r.call == id
}

// checkResponse checks a response that a caller receives.
func (w *World) checkResponse(n *node, a bbtexec.Response) {
	r := n.calls[a.Call]
	if !r.waitsFor(n, a.Call) {
		return
	}
	r.host = nil
	r.done = true
	w.tally.Responses++
	if got := string(a.Response.Body()); got != r.response() || r.runs != 1 {
		w.fail("request %d ran %d times and got response %q", r.id, r.runs, got)
	}
}

// checkRefusal checks the verdict of a refusal that a caller receives.
func (w *World) checkRefusal(n *node, a bbtexec.Refuse) {
	r := n.calls[a.Call]
	if !r.waitsFor(n, a.Call) {
		return
	}
	r.host = nil
	if !r.refusedBefore && a.Ticket == "" {
		w.tally.FirstRefused++
	}
	r.refusedBefore = true
	switch a.Err.Verdict() {
	case bbtverdict.NotRun:
		w.checkNotRun(r, a)
	case bbtverdict.MayHaveRun:
		w.tally.countMayHaveRun(r)
		r.done = w.oneIn(4)
	case bbtverdict.Ran:
		if r.runs != 1 {
			w.fail("request %d was refused as ran but ran %d times", r.id, r.runs)
		}
		r.done = true
	}
}

// checkNotRun checks that a request refused as not-run did not run. Some callers
// then abandon the request, which must not run later.
func (w *World) checkNotRun(r *request, a bbtexec.Refuse) {
	if r.runs > 0 {
		w.fail("request %d ran but was refused as not-run: %v", r.id, a.Err)
	}
	if a.Err.Reason() == bbtverdict.ReasonTicketRequired {
		w.tally.TicketRequired++
	} else {
		w.tally.NotRun++
	}
	// A request without a key keeps its ticket if the refusal carries none.
	if r.key != "" || r.ticket == "" || a.Ticket != "" {
		r.ticket = a.Ticket
	}
	r.ticketPresented = false
	if w.oneIn(8) {
		r.done = true
		r.abandoned = true
	}
}
