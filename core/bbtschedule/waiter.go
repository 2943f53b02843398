package bbtschedule

import "time"

// waiter is a request without a permit.
type waiter struct {
	key     key
	reg     Registration
	arrived time.Time
	due     time.Time // latency objective
	expires time.Time // the caller gives up
	again   bool      // it was refused before and has come back as told
	done    bool      // it waits no more
}

// newWaiter returns the waiter of a registration that arrives now.
func newWaiter(now time.Time, k key, r Registration, again bool) *waiter {
	return &waiter{key: k, reg: r, arrived: now, due: now.Add(r.Objective), expires: now.Add(r.Left), again: again}
}

// before reports whether w goes before o: by tier, then callers that came back,
// then by arrival.
func (w *waiter) before(o *waiter) bool {
	if w.reg.Tier != o.reg.Tier {
		return w.reg.Tier < o.reg.Tier
	}
	if w.again != o.again {
		return w.again
	}
	return w.arrived.Before(o.arrived)
}
