package bbtschedule

import "time"

const (
	maxWaitObjectives       = 1.0                    // longest wait in multiples of the latency objective
	returningWaitObjectives = 2.0                    // the same for a caller that was refused before
	minMaxWait              = 200 * time.Millisecond // lower bound of the longest wait, unless the deadline is near
	remainingTimeDivisor    = 3                      // the longest wait is at most the time to the caller's deadline, divided by this
)

// waiter is a queued request.
type waiter struct {
	key              key
	reg              Registration
	rank             int // lower ranks go first
	arrivedAt        time.Time
	due              time.Time     // when the latency objective is missed
	expires          time.Time     // the caller's deadline
	ttft             time.Duration // shortest time to first event over the endpoints at arrival
	timeToCompletion time.Duration // shortest time to completion over the endpoints at arrival
	returning        bool          // it was refused before and its caller retries as told
	promised         bool          // it returns at a time for which room was booked; implies returning
	tight            bool          // its first event takes much of its latency objective
	oversized        bool          // no endpoint can meet its latency objective, though it came in time
	dequeued         bool          // no longer queued
	work             time.Duration // expected in a slot; 0 unless room is kept for tiers
	told             time.Duration // forecast of the wait
	forecast         time.Duration // the same without its correction
	patience         time.Duration // longest wait; 0 for the one that follows from the objective

	// Set by queue.
	lines     *rankLines
	tag       float64   // lower ones go first in a line; 0 unless room is divided among accounts
	sequence  uint64    // order of arrival
	lateAt    time.Time // after this time no endpoint can meet the latency objective
	expiresAt time.Time // end of the longest wait
	isLate    bool      // it is in a line of late requests
	passed    int       // times that a later request of its line went first
}

// newWaiter returns the waiter of a registration that arrives now.
func newWaiter(now time.Time, k key, r Registration, returning bool) *waiter {
	return &waiter{key: k, reg: r, rank: r.Tier, arrivedAt: now, due: now.Add(r.RemainingObjective), expires: now.Add(r.RemainingTime), returning: returning}
}

// withRemainingTime returns the registration with the time that remains now.
func (w *waiter) withRemainingTime(now time.Time) Registration {
	r := w.reg
	r.RemainingTime = w.expires.Sub(now)
	return r
}

// class returns the line of its rank that the request is in.
func (w *waiter) class() lineClass {
	switch {
	case w.promised:
		return promisedLine
	case w.returning:
		return returningLine
	case w.tight:
		return tightLine
	case w.isLate && !w.oversized:
		return lateLine
	default:
		return timelyLine
	}
}

// demote moves a timely request to the late ones.
func (w *waiter) demote() {
	w.lines.remove(w)
	w.isLate, w.tight, w.oversized = true, false, false
	w.lines.insert(w)
}

// maxWait returns how long the request may wait from its registration.
func (w *waiter) maxWait() time.Duration {
	if w.patience > 0 {
		return w.patience
	}
	objectives := maxWaitObjectives
	if w.returning {
		objectives = returningWaitObjectives
	}
	wait := max(time.Duration(objectives*float64(w.reg.EffectiveObjective)), minMaxWait)
	return min(wait, w.reg.RemainingTime/remainingTimeDivisor)
}
