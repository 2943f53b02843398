package bbthttp

// Attempt is what a caller says of its attempts to send a request.
type Attempt uint8

// What a caller may say.
const (
	UnknownAttempt Attempt = iota // it does not count them
	FirstAttempt                  // it never sent the request before
	LaterAttempt                  // it may have sent the request before
)

// attemptOf returns what the attempt header says.
func attemptOf(header string) Attempt {
	switch header {
	case "":
		return UnknownAttempt
	case firstAttempt:
		return FirstAttempt
	default:
		return LaterAttempt
	}
}
