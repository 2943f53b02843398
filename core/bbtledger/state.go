// Package bbtledger records the state of each ticket that a process issued. The
// ledger is a bounded table with expiring entries, and it alone decides whether
// a request may be dispatched.
package bbtledger

import "bluebelltray/core/bbtverdict"

// State is the state of a ticket and its request.
type State uint8

// The states of a ticket. Unknown is the zero value: the ledger holds no entry
// or the dispatch ended without a complete response.
const (
	Unknown     State = iota // the request may have run
	Issued                   // the ticket has not been redeemed
	Waiting                  // the ticket was redeemed and the request waits for an endpoint
	Dispatching              // the first byte of the request may have been sent
	Finished                 // the complete response is held
	Evicted                  // the request ran, and its response is no longer held
	Void                     // the request did not run and never will
	Withdrawn                // like Void; all callers disconnected before they got a verdict
)

// String returns the state's name in kebab case.
func (s State) String() string {
	switch s {
	case Issued:
		return "issued"
	case Waiting:
		return "waiting"
	case Dispatching:
		return "dispatching"
	case Finished:
		return "finished"
	case Evicted:
		return "evicted"
	case Void:
		return "void"
	case Withdrawn:
		return "withdrawn"
	default:
		return "unknown"
	}
}

// Verdict returns whether the request ran, as far as the state tells. For
// Issued and Waiting, NotRun holds only until the next transition, so a refusal
// must void the ticket first.
func (s State) Verdict() bbtverdict.Verdict {
	switch s {
	case Issued, Waiting, Void, Withdrawn:
		return bbtverdict.NotRun
	case Finished, Evicted:
		return bbtverdict.Ran
	default:
		return bbtverdict.MayHaveRun
	}
}

// Redeemed reports whether a ticket in this state was redeemed and is neither
// void nor withdrawn: its request waits, runs, ran or may have run. It is also
// true for Unknown, where the ledger may hold no entry.
func (s State) Redeemed() bool { return s != Issued && s != Void && s != Withdrawn }
