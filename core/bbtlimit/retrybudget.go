package bbtlimit

// The limits of a RetryBudget.
const (
	// RetryRatio is the largest part of first attempts that may be retried in
	// the long run.
	RetryRatio = 0.1
	// RetryBurst is how many retries may be saved up.
	RetryBurst = 10
	// InitialRetries is how many retries are allowed before any first attempt.
	InitialRetries = 1
)

// The account of a RetryBudget is kept in parts of a retry.
const (
	retryPart  = 1000
	retryGain  = RetryRatio * retryPart
	retryLimit = (RetryBurst - InitialRetries) * retryPart
)

// RetryBudget bounds retries to a part of first attempts, so that retries never
// amplify an overload. It grows with attempts and not with time, which is why
// it is no golang.org/x/time/rate limiter. The zero value is ready to use.
type RetryBudget struct {
	saved int // parts of a retry beyond RetryStart; negative once that is spent
}

// RecordAttempt counts a first attempt.
func (b *RetryBudget) RecordAttempt() { b.saved = min(b.saved+retryGain, retryLimit) }

// AllowRetry reports whether a retry may be made, and counts it.
func (b *RetryBudget) AllowRetry() bool {
	if b.saved+InitialRetries*retryPart < retryPart {
		return false
	}
	b.saved -= retryPart
	return true
}
