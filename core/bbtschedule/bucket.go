package bbtschedule

import "time"

// tokenBucket is a token bucket whose rate and burst are passed to each call. The
// zero value is full at its first refill.
type tokenBucket struct {
	level     float64
	updatedAt time.Time
}

// refill brings the level up to date.
func (b *tokenBucket) refill(now time.Time, rate, burst float64) {
	if b.updatedAt.IsZero() {
		b.level = burst
	} else if d := now.Sub(b.updatedAt).Seconds(); d > 0 {
		b.level += d * rate
	}
	b.level = min(b.level, burst)
	b.updatedAt = now
}

// take takes n units and returns true, or takes none and returns false if fewer
// are left.
func (b *tokenBucket) take(now time.Time, rate, burst, n float64) bool {
	b.refill(now, rate, burst)
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}
