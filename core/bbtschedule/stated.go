package bbtschedule

import "time"

const (
	// statedBurst is how many requests an endpoint that states a limit may get at once.
	statedBurst = 4.0
	// minStatedRate is the rate at which requests go to an endpoint that states a lower
	// limit, since only an answer tells that the limit has ended.
	minStatedRate = 0.25 // per second
)

// stated is the limit that an endpoint has stated last.
type stated struct {
	limit  StatedLimit
	at     time.Time // of the answer
	bucket tokenBucket
}

// rate returns the requests a second that a limited endpoint may get from an owner
// with a share of all limits.
func (l *stated) rate(share float64) float64 { return max(minStatedRate, l.limit.PerSecond) * share }

// allows reports whether the limit allows one more request now.
func (l *stated) allows(now time.Time, share float64) bool {
	if !l.limit.Limited {
		return true
	}
	l.bucket.refill(now, l.rate(share), statedBurst)
	return l.bucket.level >= 1
}

// spares reports whether a request that holds a slot for a short time may use the
// limit, as of the latest call of allows. A limit counts requests, whatever work they
// are, while other endpoints are limited by their slots. So short requests leave it to
// long ones, but for what would be lost.
func (l *stated) spares() bool { return !l.limit.Limited || l.bucket.level >= statedBurst }

// take counts a request.
func (l *stated) take(now time.Time, share float64) {
	if l.limit.Limited {
		l.bucket.take(now, l.rate(share), statedBurst, 1)
	}
}

// set sets the limit that was stated at a time, unless a later one is known. It
// reports whether the limit has changed. A limit begins with an empty bucket, since
// the endpoint has just got requests.
func (l *stated) set(now, at time.Time, limit StatedLimit) bool {
	if at.After(now) {
		at = now
	}
	if !limit.Answered || at.Before(l.at) || !(limit.PerSecond >= 0) {
		return false
	}
	before := l.limit
	l.limit, l.at = limit, at
	if limit.Limited && !before.Limited {
		l.bucket = tokenBucket{updatedAt: now}
	}
	return before.Limited != limit.Limited || before.PerSecond != limit.PerSecond
}

// recordStated records what an endpoint stated at a time.
func (s *Scheduler) recordStated(now, at time.Time, e *endpoint, l StatedLimit) {
	before := e.stated.limit
	if e.stated.set(now, at, l) {
		s.notices = append(s.notices, EndpointLimited{Endpoint: e.record.ID, Before: before, Limit: l})
	}
}
