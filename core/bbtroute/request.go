package bbtroute

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
)

// Request is one call that an entry host holds for a caller.
type Request struct {
	ID       bbtgrant.RequestID
	Pool     bbtfleet.PoolID
	Account  bbtfleet.AccountID
	Tier     bbtfleet.Tier
	Deadline time.Time // when the whole answer is due; zero for none

	// PromptTokens and Output are the expected tokens to read and to generate.
	PromptTokens int
	OutputTokens int

	// Prefix identifies the start of the prompt that endpoints may hold in
	// their caches, and PrefixTokens its length; zero if none.
	Prefix       uint64
	PrefixTokens int

	// MaxRepeats is how often the call may run again after a dispatch whose
	// outcome is unknown.
	MaxRepeats int

	// Isolated asks for an endpoint that runs no other such request.
	Isolated bool

	// Exclude names endpoints the request must not run on.
	Exclude []bbtfleet.EndpointID
}
