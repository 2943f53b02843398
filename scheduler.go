package bluebelltray

import (
	"context"
	"time"

	"bluebelltray/core/bbtfleet"
)

// Scheduler serves the requests of callers on one host.
type Scheduler interface {
	// Addresses returns the caller addresses, as IP:port, that an account's
	// callers use, and how long they may keep them.
	Addresses(account bbtfleet.AccountID) ([]string, time.Duration, error)

	// Submit schedules the request and returns the head of its answer. A
	// non-nil error is a *bbtverdict.Error.
	Submit(ctx context.Context, r Request) (Response, error)
}

// Request is one caller's request.
type Request interface {
	Call

	Account() bbtfleet.AccountID
	Pool() bbtfleet.PoolID

	// PromptTokens and MaxTokens estimate the request's work in tokens. Both
	// are zero for a plain service's call.
	PromptTokens() int
	MaxTokens() int

	// Prefix identifies the start of the prompt, as endpoints' cache events do;
	// zero for a plain service's call. PrefixTokens is its length in tokens.
	Prefix() uint64
	PrefixTokens() int

	// Ticket is the text of the ticket that the caller holds, or empty.
	Ticket() string

	// Key is the caller's idempotency key, or empty.
	Key() string

	// IsFirstAttempt reports whether the caller states that it never sent this request
	// before.
	IsFirstAttempt() bool

	// CountsAttempts reports whether the caller counts its attempts at all.
	CountsAttempts() bool
}
