package bbtschedule

import (
	"cmp"
	"time"
)

const (
	lateWaitObjectives      = 1.0 // objectives that a late request waits at most
	returningWaitObjectives = 2.0 // objectives that a request waits at most that was refused before
	minMaxWait              = 200 * time.Millisecond
	remainingTimeDivisor    = 3 // of the caller's time, the part that it waits at most
)

// waiter is a request without a permit.
type waiter struct {
	key              key
	reg              Registration
	rank             int // lower ones go first
	arrived          time.Time
	due              time.Time     // latency objective
	expires          time.Time     // the caller gives up
	ttft time.Duration // until the first event at the endpoint that is fastest at its arrival
	timeToCompletion time.Duration // until the end at the endpoint that is fastest at its arrival
	returning        bool          // it was refused before and has come back as told
	done             bool          // it waits no more
}

// newWaiter returns the waiter of a registration that arrives now.
func newWaiter(now time.Time, k key, r Registration, returning bool) *waiter {
	return &waiter{key: k, reg: r, rank: r.Tier, arrived: now, due: now.Add(r.RemainingObjective), expires: now.Add(r.RemainingTime), returning: returning}
}

// withRemainingTime returns the registration with the time that is withRemainingTime now.
func (w *waiter) withRemainingTime(now time.Time) Registration {
	r := w.reg
	r.RemainingTime = w.expires.Sub(now)
	return r
}

// late reports whether no endpoint can keep the objective. A caller that was
// refused before is late for having waited.
func (w *waiter) late(now time.Time) bool { return w.returning || now.Add(w.ttft).After(w.due) }

// compare orders waiting requests by rank, then callers that came back, then by
// arrival.
func (w *waiter) compare(o *waiter) int {
	return cmp.Or(cmp.Compare(w.rank, o.rank), compareBool(o.returning, w.returning), w.arrived.Compare(o.arrived))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// maxWait returns how long the request may wait from its registration.
func (w *waiter) maxWait() time.Duration {
	objectives := lateWaitObjectives
	if w.returning {
		objectives = returningWaitObjectives
	}
	p := max(time.Duration(objectives*float64(w.reg.LatencyObjective)), minMaxWait)
	return min(p, w.reg.RemainingTime/remainingTimeDivisor)
}
