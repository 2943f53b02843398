package bbthttp

// Attempt is a caller's statement of whether it has sent a request before.
type Attempt uint8

// The values of Attempt.
const (
	Uncounted    Attempt = iota // the caller does not count its attempts
	FirstAttempt                // the caller has not sent the request before
	LaterAttempt                // the caller may have sent the request before
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
