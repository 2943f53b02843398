package bbtschedule

import (
	"time"

	"bluebelltray/core/bbtcatalog"
)

// ownSlackFraction is the part of the retry slack that this owner spends. The
// rest is reserved for retries under other owners.
const ownSlackFraction = 0.5

// retryBudget limits the retries of each service within the operators' window.
type retryBudget struct {
	bounds   bbtcatalog.Bounds
	requests map[string]*Meter // by service
	retries  map[string]*Meter
}

func newRetryBudget(b bbtcatalog.Bounds) retryBudget {
	return retryBudget{bounds: b, requests: make(map[string]*Meter), retries: make(map[string]*Meter)}
}

// meter returns a service's meter from meters. It adds one if there is none.
func (t *retryBudget) meter(meters map[string]*Meter, service string) *Meter {
	m := meters[service]
	if m == nil {
		m = NewMeter(t.bounds.RetryWindow)
		meters[service] = m
	}
	return m
}

// countRequest counts the first attempt of a request, which adds to the budget.
func (t *retryBudget) countRequest(now time.Time, service string) {
	t.meter(t.requests, service).Add(now, 0, 1)
}

// take counts a retry and returns true, or returns false if the budget is
// spent.
func (t *retryBudget) take(now time.Time, service string, share float64) bool {
	if t.remaining(now, service, share) < 1 {
		return false
	}
	t.meter(t.retries, service).Add(now, 0, 1)
	return true
}

// giveBack reverses a retry, taken the given time ago, that was not permitted.
func (t *retryBudget) giveBack(now time.Time, service string, age time.Duration) {
	t.meter(t.retries, service).Add(now, age, -1)
}

// remaining returns how many retries the budget allows now.
func (t *retryBudget) remaining(now time.Time, service string, share float64) float64 {
	requests := t.meter(t.requests, service).Sum(now)
	budget := t.bounds.RetryRatio*requests + ownSlackFraction*share*t.bounds.RetrySlack
	return budget - t.meter(t.retries, service).Sum(now)
}
