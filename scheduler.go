package bluebelltray

import (
	"context"
	"time"

	"bluebelltray/core/bbtfleet"
)

// Scheduler handles the requests of callers on one host.
type Scheduler interface {
	// Addresses returns the host addresses, as IP:port, that an account's callers
	// should send requests to, and for how long they may cache them.
	Addresses(account bbtfleet.AccountID) ([]string, time.Duration, error)

	// Submit schedules the request and returns the response once its headers
	// have arrived. A non-nil error is a *bbtverdict.Error.
	Submit(ctx context.Context, r Request) (Response, error)
}

// Request is a request from a caller.
type Request interface {
	Call

	Account() bbtfleet.AccountID
	Pool() bbtfleet.PoolID

	// PromptTokens and MaxOutputTokens are the estimated prompt length and the maximum
	// output length in tokens. Both are zero for a request to a plain service.
	PromptTokens() int
	MaxOutputTokens() int

	// Prefix is a hash of the start of the prompt, compared with those of the
	// prefixes that engines report as cached; zero if there is no prompt.
	// PrefixTokens is the length of that start in tokens.
	Prefix() uint64
	PrefixTokens() int

	// Ticket is the ticket that the caller sent, issued with the refusal of an
	// earlier attempt, or empty.
	Ticket() string

	// Key is the caller's idempotency key, or empty.
	Key() string

	// IsFirstAttempt reports whether the caller states that it has sent no ticket
	// for this request before, or only ones that were refused as not run.
	IsFirstAttempt() bool

	// CountsAttempts reports whether the caller states which attempt this is.
	CountsAttempts() bool
}
