package bbtschedule

import "time"

// bucket is a rate with a burst. The zero value is empty.
type bucket struct {
	level float64
	at    time.Time
}

// fill brings the level up to date.
func (b *bucket) fill(now time.Time, rate, burst float64) {
	if b.at.IsZero() {
		b.level = burst
	} else if d := now.Sub(b.at).Seconds(); d > 0 {
		b.level += d * rate
	}
	b.level = min(b.level, burst)
	b.at = now
}

// take takes n units and reports true, or takes nothing.
func (b *bucket) take(now time.Time, rate, burst, n float64) bool {
	b.fill(now, rate, burst)
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}
