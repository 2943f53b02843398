package bbtschedule

import (
	"time"

	"bluebelltray/core/bbtcatalog"
)

// slackPart is the part of the slack of repeats that is spent; the rest is for
// repeats under other owners.
const slackPart = 0.5

// repeats bounds, for each service, what is sent a second time within the
// operators' window.
type repeats struct {
	bounds   bbtcatalog.Bounds
	requests map[string]*Meter // by service
	again    map[string]*Meter
}

func newRepeats(b bbtcatalog.Bounds) repeats {
	return repeats{bounds: b, requests: make(map[string]*Meter), again: make(map[string]*Meter)}
}

// meter returns a service's meter among some.
func (t *repeats) meter(meters map[string]*Meter, service string) *Meter {
	m := meters[service]
	if m == nil {
		m = NewMeter(t.bounds.RetryWindow)
		meters[service] = m
	}
	return m
}

// request counts a first dispatch.
func (t *repeats) request(now time.Time, service string) {
	t.meter(t.requests, service).Add(now, 0, 1)
}

// take counts a repeat and reports true unless the budget is spent.
func (t *repeats) take(now time.Time, service string, share float64) bool {
	if t.left(now, service, share) < 1 {
		return false
	}
	t.meter(t.again, service).Add(now, 0, 1)
	return true
}

// left returns how many repeats the budget allows now.
func (t *repeats) left(now time.Time, service string, share float64) float64 {
	requests := t.meter(t.requests, service).Sum(now)
	budget := t.bounds.RetryRatio*requests + slackPart*share*t.bounds.RetrySlack
	return budget - t.meter(t.again, service).Sum(now)
}
