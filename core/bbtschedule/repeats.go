package bbtschedule

import (
	"time"

	"bluebelltray/core/bbtcatalog"
)

// ownSlackFraction is the part of the slack of repeats that is spent; the rest is for
// repeats under other owners.
const ownSlackFraction = 0.5

// retryBudget bounds, for each service, what is sent a second time within the
// operators' window.
type retryBudget struct {
	bounds   bbtcatalog.Bounds
	requests map[string]*Meter // by service
	retries  map[string]*Meter
}

func newRetryBudget(b bbtcatalog.Bounds) retryBudget {
	return retryBudget{bounds: b, requests: make(map[string]*Meter), retries: make(map[string]*Meter)}
}

// meter returns a service's meter among some.
func (t *retryBudget) meter(meters map[string]*Meter, service string) *Meter {
	m := meters[service]
	if m == nil {
		m = NewMeter(t.bounds.RetryWindow)
		meters[service] = m
	}
	return m
}

// countRequest counts a first dispatch.
func (t *retryBudget) countRequest(now time.Time, service string) {
	t.meter(t.requests, service).Add(now, 0, 1)
}

// take counts a repeat and reports true unless the budget is spent.
func (t *retryBudget) take(now time.Time, service string, share float64) bool {
	if t.remaining(now, service, share) < 1 {
		return false
	}
	t.meter(t.retries, service).Add(now, 0, 1)
	return true
}

// remaining returns how many repeats the budget allows now.
func (t *retryBudget) remaining(now time.Time, service string, share float64) float64 {
	requests := t.meter(t.requests, service).Sum(now)
	budget := t.bounds.RetryRatio*requests + ownSlackFraction*share*t.bounds.RetrySlack
	return budget - t.meter(t.retries, service).Sum(now)
}
