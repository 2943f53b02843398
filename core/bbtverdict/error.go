package bbtverdict

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Error is a refusal or failure of a request, with its verdict.
type Error struct {
	verdict    Verdict
	reason     Reason
	retryAfter time.Duration
	ticket     string
	cause      error
}

// Option sets an optional part of an Error.
type Option func(*Error)

// WithRetryAfter sets how long the caller should wait before it retries.
func WithRetryAfter(d time.Duration) Option {
	return func(e *Error) { e.retryAfter = d }
}

// WithTicket attaches a ticket with which the caller may retry the request.
func WithTicket(text string) Option {
	return func(e *Error) { e.ticket = text }
}

// WithCause sets the underlying error.
func WithCause(err error) Option {
	return func(e *Error) { e.cause = err }
}

// New returns an Error with the given verdict and reason.
func New(v Verdict, r Reason, opts ...Option) *Error {
	e := &Error{verdict: v, reason: r}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Verdict returns whether the request was executed, as far as is known.
func (e *Error) Verdict() Verdict { return e.verdict }

// Reason returns why the request was refused or failed.
func (e *Error) Reason() Reason { return e.reason }

// RetryAfter returns how long the caller should wait before it retries; zero
// if unknown.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Ticket returns the attached ticket, or the empty string.
func (e *Error) Ticket() string { return e.ticket }

// Unwrap returns the underlying error, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Error returns the verdict, the reason and the underlying error as text.
func (e *Error) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("%s: %s", e.verdict, e.reason)
	}
	return fmt.Sprintf("%s: %s: %v", e.verdict, e.reason, e.cause)
}

// FromError returns the *Error in err's chain. If there is none, it wraps err with
// the verdict MayHaveRun and the given reason.
func FromError(err error, r Reason) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(MayHaveRun, r, WithCause(err))
}

// Of returns the verdict of err: Ran for nil and MayHaveRun for an error without
// a verdict.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	var e *Error
	if errors.As(err, &e) {
		return e.verdict
	}
	return MayHaveRun
}
