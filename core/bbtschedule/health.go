package bbtschedule

import (
	"slices"
	"time"
)

const (
	// faultyExcess is how far the failure rate of an endpoint has to exceed the
	// median of its service before the endpoint is limited to one request at a
	// time, with pauses after failures.
	faultyExcess = 0.5
	// medianUpdateInterval is the time between updates of the median while
	// requests succeed. Each failure updates it at once.
	medianUpdateInterval = 100 * time.Millisecond
)

// isFailure reports whether an outcome counts as a failure of the endpoint.
func (o Outcome) isFailure() bool { return o == Failed || o == ConnectionLost || o == IdleTimeout }

// recordOutcome updates the failure rate from an outcome, and pauses the
// endpoint after a failure if it is faulty.
func (e *endpoint) recordOutcome(now time.Time, o Outcome) {
	switch {
	case o == Finished:
		e.failureRate.observe(0)
	case o.isFailure():
		e.failureRate.observe(1)
	default:
		return
	}
	if sv := e.service; o.isFailure() || now.Sub(sv.medianUpdatedAt) >= medianUpdateInterval {
		sv.updateMedianFailureRate(now)
	}
	if o.isFailure() && e.faulty() {
		e.consecutiveFailures = max(e.consecutiveFailures, 1)
		e.pause(now, e.failurePause())
	}
}

// faulty reports whether the endpoint fails far more often than the median
// endpoint of its service. Failures at all endpoints are attributed to the
// requests.
func (e *endpoint) faulty() bool { return e.failureRate.value-e.service.medianRate >= faultyExcess }

// updateMedianFailureRate updates the median of the endpoints' failure rates.
func (sv *service) updateMedianFailureRate(now time.Time) {
	if len(sv.endpoints) == 0 {
		return
	}
	sv.medianUpdatedAt = now
	rates := make([]float64, 0, len(sv.endpoints))
	for _, e := range sv.endpoints {
		rates = append(rates, e.failureRate.value)
	}
	slices.Sort(rates)
	sv.medianRate = rates[(len(rates)-1)/2]
}
