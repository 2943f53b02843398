package bbtschedule

import "time"

const (
	// retryAfterDivisor sets the longest Retry-After that the platform's callers
	// comply with: the time to their deadline, divided by it.
	retryAfterDivisor = 3
	minRetryAfter     = 100 * time.Millisecond
	retrySpread       = 0.5 // fraction of the longest Retry-After, at its upper end, over which refused callers are spread
	spreadSteps       = 1024
	refusedLifetime   = 10 * time.Second
	maxRefused        = 8192
)

// backoff chooses Retry-After times that spread refused callers over time, and
// recognizes the callers when they return.
type backoff struct {
	refusedUntil map[uint64]time.Time // expiry, by fingerprint
	refusals     []refused            // in order of expiry; some are outdated
}

// refused is a request that was refused, with the time at which this is forgotten.
type refused struct {
	fingerprint uint64
	until       time.Time
}

func newBackoff() backoff { return backoff{refusedUntil: make(map[uint64]time.Time)} }

// retryDelay returns after what time a refused caller should retry. An overload
// usually lasts longer than callers are willing to wait, so the delays are in
// the upper part of the range that they comply with, spread by fingerprint.
func (t *backoff) retryDelay(now time.Time, r Registration) time.Duration {
	t.remember(now, r.Fingerprint)
	return spreadDelay(r.RemainingTime/retryAfterDivisor, r.Fingerprint)
}

// spreadDelay returns a delay in the upper part of the range up to a longest one, at a
// place that depends on the fingerprint.
func spreadDelay(longest time.Duration, fp uint64) time.Duration {
	position := float64(fp%spreadSteps) / spreadSteps
	return max(minRetryAfter, time.Duration(float64(longest)*(1-retrySpread*position)))
}

// remember records a refused request. It forgets those whose time is over, and
// the oldest one if there are too many.
func (t *backoff) remember(now time.Time, fp uint64) {
	if fp == 0 {
		return
	}
	for len(t.refusals) > 0 && (len(t.refusals) >= maxRefused || now.After(t.refusals[0].until)) {
		if oldest := t.refusals[0]; t.refusedUntil[oldest.fingerprint].Equal(oldest.until) {
			delete(t.refusedUntil, oldest.fingerprint)
		}
		t.refusals = t.refusals[1:]
	}
	until := now.Add(refusedLifetime)
	t.refusedUntil[fp] = until
	t.refusals = append(t.refusals, refused{fp, until})
}

// wasRefused reports whether the request was refused before, and forgets it.
func (t *backoff) wasRefused(now time.Time, fp uint64) bool {
	until, ok := t.refusedUntil[fp]
	delete(t.refusedUntil, fp)
	return ok && now.Before(until)
}
