// Package bbthttp speaks HTTP with callers and endpoints.
package bbthttp

import "time"

// The headers of the protocol with callers.
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

// firstAttempt is the attempt number of a request never sent before.
const firstAttempt = "1"

// The content types of the protocol.
const (
	typeJSON   = "application/json"
	typeEvents = "text/event-stream"
)

// Default limits on callers and endpoints.
const (
	DefaultMaxHeaderBytes        = 16 << 10
	DefaultMaxBodyBytes          = 1 << 20
	DefaultMaxConcurrentRequests = 1024
	DefaultHeaderTimeout         = 5 * time.Second
	DefaultBodyTimeout           = 10 * time.Second
	DefaultIdleTimeout           = 10 * time.Second
	DefaultDialTimeout           = time.Second
)
