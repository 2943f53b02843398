package bbtledger

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// Redeem redeems an account's ticket for the request with the given fingerprint
// and returns the ticket's previous state. A ticket can be redeemed once: only
// one call returns Issued, and only the request of that call may be scheduled.
// Match is false if the ticket was redeemed before for another request. A
// withdrawn ticket becomes void, as its caller is now told the verdict.
func (l *Ledger) Redeem(now time.Time, seq uint64, account bbtfleet.AccountID, fingerprint uint64) (previous State, match bool) {
	e := l.lookup(seq, account)
	if e == nil {
		return Unknown, true
	}
	if e.state == Withdrawn {
		e.state = Void
	}
	if e.state != Issued {
		return e.state, e.state == Void || e.fingerprint == fingerprint
	}
	if !now.Before(e.expiry) {
		e.state = Void
		return Void, true
	}
	e.state = Waiting
	e.fingerprint = fingerprint
	return Issued, true
}

// Dispatch records that the request is about to be sent. It must be called with
// the current time, immediately before the first byte is written. If it reports
// false, the ticket is not waiting or has expired, and nothing may be written.
func (l *Ledger) Dispatch(now time.Time, seq uint64) (Dispatch, bool) {
	e := l.entries[seq]
	if e == nil || e.state != Waiting || !now.Before(e.expiry) {
		return 0, false
	}
	e.state = Dispatching
	e.dispatch++
	return e.dispatch, true
}

// Retract undoes a dispatch that provably did not run, so that the ticket waits
// again. It reports false if the dispatch is not the current one.
func (l *Ledger) Retract(seq uint64, d Dispatch) bool {
	e := l.running(seq, d)
	if e == nil {
		return false
	}
	e.state = Waiting
	return true
}

// Finish records the complete response of a dispatch. It reports false if the
// dispatch is not the current one; its response must then be dropped.
func (l *Ledger) Finish(seq uint64, d Dispatch, r Response) bool {
	e := l.running(seq, d)
	if e == nil {
		return false
	}
	e.state = Finished
	e.response = r
	l.responseBytes += r.size()
	l.responses = append(l.responses, seq)
	l.evictOldest()
	return true
}

// MarkUnknown records that a dispatch ended without a complete response, so that
// the request may have run. It reports false if the dispatch is not the current
// one.
func (l *Ledger) MarkUnknown(seq uint64, d Dispatch) bool {
	e := l.running(seq, d)
	if e == nil {
		return false
	}
	e.state = Unknown
	return true
}

// Void makes an issued, waiting or withdrawn ticket void and reports whether
// the ticket is void now. A refusal with the verdict NotRun must void the ticket
// first, as an earlier request with the ticket may still arrive.
func (l *Ledger) Void(seq uint64, account bbtfleet.AccountID) bool {
	e := l.lookup(seq, account)
	if e == nil {
		return false
	}
	if !e.state.Redeemed() || e.state == Waiting {
		e.state = Void
	}
	return e.state == Void
}

// Withdraw ends a waiting ticket whose callers have all disconnected, so that
// its request never runs.
func (l *Ledger) Withdraw(seq uint64, account bbtfleet.AccountID) {
	if e := l.lookup(seq, account); e != nil && e.state == Waiting {
		e.state = Withdrawn
	}
}

// Response returns the response to the request of an account's ticket and
// whether it is held.
func (l *Ledger) Response(seq uint64, account bbtfleet.AccountID) (Response, bool) {
	e := l.lookup(seq, account)
	if e == nil || e.state != Finished {
		return Response{}, false
	}
	return e.response, true
}

// running returns the ticket's entry if d is its current dispatch, else nil.
func (l *Ledger) running(seq uint64, d Dispatch) *entry {
	e := l.entries[seq]
	if e == nil || e.state != Dispatching || e.dispatch != d {
		return nil
	}
	return e
}

// evictOldest evicts the oldest responses until the rest fit the limit.
func (l *Ledger) evictOldest() {
	for l.responseBytes > l.maxResponseBytes {
		seq := l.responses[0]
		l.responses = l.responses[1:]
		if e := l.entries[seq]; e != nil {
			l.evictResponse(e)
		}
	}
}
