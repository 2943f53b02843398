package bbtschedule

import (
	"slices"
	"time"
)

const (
	// faultyExcess is the share of failures beyond the service's usual one from
	// which an endpoint gets one request at a time, after pauses.
	faultyExcess = 0.5
	// medianUpdateInterval is the time between updates of the usual share while endpoints
	// answer well.
	medianUpdateInterval = 100 * time.Millisecond
)

// isFailure reports whether an outcome shows that the endpoint failed.
func (o Outcome) isFailure() bool { return o == Failed || o == ConnectionLost || o == IdleTimeout }

// updateFailureRate learns from an outcome whether the endpoint answers well.
func (e *endpoint) updateFailureRate(now time.Time, o Outcome) {
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

// faulty reports whether the endpoint fails far more often than those in the
// middle. What fails everywhere is the requests' own fault.
func (e *endpoint) faulty() bool { return e.failureRate.value-e.service.medianRate >= faultyExcess }

// updateMedianFailureRate updates the share of failures of the endpoints in the middle.
func (sv *service) updateMedianFailureRate(now time.Time) {
	if len(sv.endpoints) == 0 {
		return
	}
	sv.medianUpdatedAt = now
	shares := make([]float64, 0, len(sv.endpoints))
	for _, e := range sv.endpoints {
		shares = append(shares, e.failureRate.value)
	}
	slices.Sort(shares)
	sv.medianRate = shares[(len(shares)-1)/2]
}
