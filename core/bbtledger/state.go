// Package bbtledger records what became of each ticket that a process issued:
// a bounded, expiring table that alone decides whether a request may be
// dispatched.
package bbtledger

import "bluebelltray/core/bbtverdict"

// State is how far the request of a ticket has come.
type State uint8

// The states of a ticket. Unknown is the zero value: the ledger holds no entry
// or the dispatch ended without a whole answer.
const (
	Unknown     State = iota // it may have run
	Issued                   // it was never presented
	Waiting                  // it was presented and waits for an endpoint
	Dispatching              // its first byte may have left
	Finished                 // its whole answer is held
	Evicted                  // it ran, and its answer is no longer held
	Void                     // it never ran and never will
	Withdrawn                // as void, after its only callers left without a verdict
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

// Verdict returns what the state says of the request's execution. Issued and
// Waiting say not run for this moment only; a refusal must void the ticket.
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

// Presented reports whether a ticket in this state was presented and is not
// void: it waits, runs, ran, or may have run.
func (s State) Presented() bool { return s != Issued && s != Void && s != Withdrawn }
