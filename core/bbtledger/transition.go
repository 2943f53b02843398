package bbtledger

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// Present presents an account's ticket for the request with the given
// fingerprint and returns the state it was found in. Only one presentation
// finds Issued, and that one is to be scheduled. Match is false when the
// ticket was presented before for another request.
func (l *Ledger) Present(now time.Time, seq uint64, account bbtfleet.AccountID, fingerprint uint64) (found State, match bool) {
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

// Dispatch passes the point of no return: it must be called on the current
// clock, immediately before the first byte is written. It reports false when
// the ticket is not waiting or has expired; nothing may be written then.
func (l *Ledger) Dispatch(now time.Time, seq uint64) (Dispatch, bool) {
	e := l.entries[seq]
	if e == nil || e.state != Waiting || !now.Before(e.expiry) {
		return 0, false
	}
	e.state = Dispatching
	e.dispatch++
	return e.dispatch, true
}

// Retract takes a dispatch back that provably did not run, so that the ticket
// waits again. It reports false for a former dispatch.
func (l *Ledger) Retract(seq uint64, d Dispatch) bool {
	e := l.running(seq, d)
	if e == nil {
		return false
	}
	e.state = Waiting
	return true
}

// Finish records the whole answer of a dispatch. It reports false for a former
// dispatch, whose answer must be dropped.
func (l *Ledger) Finish(seq uint64, d Dispatch, a Response) bool {
	e := l.running(seq, d)
	if e == nil {
		return false
	}
	e.state = Finished
	e.answer = a
	l.bytes += a.size()
	l.answers = append(l.answers, seq)
	l.shrink()
	return true
}

// MarkUnknown records that a dispatch ended without a whole answer. It reports false
// for a former dispatch.
func (l *Ledger) MarkUnknown(seq uint64, d Dispatch) bool {
	e := l.running(seq, d)
	if e == nil {
		return false
	}
	e.state = Unknown
	return true
}

// Void makes sure that an issued or waiting ticket never runs and reports
// whether it is void. A refusal that says not run must void the ticket first,
// as an earlier presentation may still arrive.
func (l *Ledger) Void(seq uint64, account bbtfleet.AccountID) bool {
	e := l.lookup(seq, account)
	if e == nil {
		return false
	}
	if !e.state.Presented() || e.state == Waiting {
		e.state = Void
	}
	return e.state == Void
}

// Withdraw makes sure that a waiting ticket whose callers all left never runs.
func (l *Ledger) Withdraw(seq uint64, account bbtfleet.AccountID) {
	if e := l.lookup(seq, account); e != nil && e.state == Waiting {
		e.state = Withdrawn
	}
}

// Response returns the finished answer of an account's ticket and whether it is
// held.
func (l *Ledger) Response(seq uint64, account bbtfleet.AccountID) (Response, bool) {
	e := l.lookup(seq, account)
	if e == nil || e.state != Finished {
		return Response{}, false
	}
	return e.answer, true
}

// running returns the entry if d is its current dispatch, or nil.
func (l *Ledger) running(seq uint64, d Dispatch) *entry {
	e := l.entries[seq]
	if e == nil || e.state != Dispatching || e.dispatch != d {
		return nil
	}
	return e
}

// shrink evicts the oldest answers until the rest fit.
func (l *Ledger) shrink() {
	for l.bytes > l.maxBytes {
		seq := l.answers[0]
		l.answers = l.answers[1:]
		if e := l.entries[seq]; e != nil {
			l.dropAnswer(e)
		}
	}
}
