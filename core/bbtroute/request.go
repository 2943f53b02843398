package bbtroute

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
)

// Request is a call that an entry host handles for a caller.
type Request struct {
	ID       bbtgrant.RequestID
	Pool     bbtfleet.PoolID
	Account  bbtfleet.AccountID
	Tier     bbtfleet.Tier
	Deadline time.Time // for the complete answer; zero for none

	// InputTokens is the expected length of the prompt, and OutputTokens the
	// maximum length of the answer.
	InputTokens  int
	OutputTokens int

	// Prefix identifies the start of the prompt that endpoints may have cached,
	// and PrefixTokens is its length. Both are zero if there is none.
	Prefix       uint64
	PrefixTokens int

	// MaxRepeats is the maximum number of retries after dispatches whose
	// outcome is unknown.
	MaxRepeats int

	// Isolated asks for an endpoint that runs no other isolated request.
	Isolated bool

	// Exclude lists endpoints that the request must not run on.
	Exclude []bbtfleet.EndpointID
}
