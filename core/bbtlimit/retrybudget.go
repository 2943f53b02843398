package bbtlimit

// The limits of a RetryBudget.
const (
	// RetryRatio is the largest long-run ratio of retries to first attempts.
	RetryRatio = 0.1
	// RetryBurst is the largest number of retries that can accumulate.
	RetryBurst = 10
	// InitialRetries is the number of retries allowed before any first attempt.
	InitialRetries = 1
)

// A RetryBudget counts in thousandths of a retry.
const (
	retryUnit      = 1000
	gainPerAttempt = RetryRatio * retryUnit
	maxSaved       = (RetryBurst - InitialRetries) * retryUnit
)

// RetryBudget limits retries to a fraction of first attempts, so that retries
// cannot amplify an overload. It grows with attempts rather than time, so a
// golang.org/x/time/rate limiter does not fit. The zero value is ready to use.
type RetryBudget struct {
	saved int // thousandths of a retry beyond InitialRetries; negative once those are used
}

// RecordAttempt records a first attempt.
func (b *RetryBudget) RecordAttempt() { b.saved = min(b.saved+gainPerAttempt, maxSaved) }

// AllowRetry reports whether a retry may be made and, if so, records it.
func (b *RetryBudget) AllowRetry() bool {
	if b.saved+InitialRetries*retryUnit < retryUnit {
		return false
	}
	b.saved -= retryUnit
	return true
}
