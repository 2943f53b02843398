// Package bbthttp implements the HTTP server for callers and the HTTP clients for
// endpoints.
package bbthttp

import "time"

// HTTP headers of the protocols with callers and endpoints.
const (
	HeaderAccount        = "Bluebelltray-Account"
	HeaderVerdict        = "Bluebelltray-Verdict"
	HeaderReason         = "Bluebelltray-Reason"
	HeaderTicket         = "Bluebelltray-Ticket"
	HeaderAttempt        = "Bluebelltray-Attempt"
	HeaderIdempotencyKey = "Idempotency-Key"
	headerIncarnation    = "Endpoint-Incarnation"
	headerRetryAfter     = "Retry-After"
	headerContentType    = "Content-Type"
)

// firstAttemptNumber is the value of HeaderAttempt that means FirstAttempt.
const firstAttemptNumber = "1"

// Content types.
const (
	typeJSON        = "application/json"
	typeEventStream = "text/event-stream"
)

// Default limits for callers and endpoints.
const (
	DefaultMaxHeaderBytes        = 16 << 10
	DefaultMaxBodyBytes          = 1 << 20
	DefaultMaxConcurrentRequests = 1024
	DefaultHeaderTimeout         = 5 * time.Second
	DefaultBodyTimeout           = 10 * time.Second
	DefaultIdleTimeout           = 10 * time.Second
	DefaultDialTimeout           = time.Second
)
