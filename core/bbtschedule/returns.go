package bbtschedule

import "time"

const (
	// retryAfterDivisor is the part of the time that a caller has left, as a
	// divisor, up to which it waits as told (platform: answers).
	retryAfterDivisor = 3
	minRetryAfter     = 100 * time.Millisecond
	retrySpread       = 0.5 // of the longest wait that callers accept, over which they are spread
	spreadSteps       = 1024
	refusedLifetime   = 10 * time.Second
	maxRefused        = 8192
)

// backoff spreads the callers that were refused over the time to come, and
// knows them when they come back.
type backoff struct {
	refusedUntil map[uint64]time.Time // by fingerprint, until when
}

func newBackoff() backoff { return backoff{refusedUntil: make(map[uint64]time.Time)} }

// retryDelay returns after what time a refused caller is to come again. An
// overload outlasts a caller's patience more often than not, so callers come
// late in it, spread by their fingerprints.
func (t *backoff) retryDelay(now time.Time, r Registration) time.Duration {
	t.remember(now, r.Fingerprint)
	most := float64(r.RemainingTime) / retryAfterDivisor
	part := float64(r.Fingerprint%spreadSteps) / spreadSteps
	return max(minRetryAfter, time.Duration(most*(1-retrySpread*part)))
}

// remember remembers a refused request.
func (t *backoff) remember(now time.Time, fp uint64) {
	if fp == 0 {
		return
	}
	if len(t.refusedUntil) >= maxRefused {
		for p, until := range t.refusedUntil {
			if now.After(until) {
				delete(t.refusedUntil, p)
			}
		}
	}
	if len(t.refusedUntil) < maxRefused {
		t.refusedUntil[fp] = now.Add(refusedLifetime)
	}
}

// wasRefused reports whether the request was refused before.
func (t *backoff) wasRefused(now time.Time, fp uint64) bool {
	until, ok := t.refusedUntil[fp]
	delete(t.refusedUntil, fp)
	return ok && now.Before(until)
}
