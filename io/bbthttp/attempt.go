package bbthttp

// Attempt is what a caller states about its earlier attempts to send a request.
type Attempt uint8

// The values of Attempt.
const (
	Uncounted    Attempt = iota // the caller does not count its attempts
	FirstAttempt                // the caller sent no ticket for the request before, or only ones refused as not run
	LaterAttempt                // the caller may have sent a ticket for the request before
)

// parseAttempt parses the value of HeaderAttempt. Any value other than the empty
// string and firstAttemptNumber means a later attempt.
func parseAttempt(header string) Attempt {
	switch header {
	case "":
		return Uncounted
	case firstAttemptNumber:
		return FirstAttempt
	default:
		return LaterAttempt
	}
}
