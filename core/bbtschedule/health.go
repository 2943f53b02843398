package bbtschedule

import (
	"slices"
	"time"
)

const (
	// faultyShare is the share of failures beyond the service's usual one from
	// which an endpoint gets one request at a time, after pauses.
	faultyShare = 0.5
	// usualPeriod is the time between updates of the usual share while endpoints
	// answer well.
	usualPeriod = 100 * time.Millisecond
)

// ranBadly reports whether an outcome shows that the endpoint failed.
func (o Outcome) ranBadly() bool { return o == Failed || o == ConnectionLost || o == IdleTimeout }

// judge learns from an outcome whether the endpoint answers well.
func (e *endpoint) judge(now time.Time, o Outcome) {
	switch {
	case o == Finished:
		e.faults.learn(0)
	case o.ranBadly():
		e.faults.learn(1)
	default:
		return
	}
	if sv := e.service; o.ranBadly() || now.Sub(sv.usualAt) >= usualPeriod {
		sv.updateUsual(now)
	}
	if o.ranBadly() && e.faulty() {
		e.failures = max(e.failures, 1)
		e.pause(now, e.failurePause())
	}
}

// faulty reports whether the endpoint fails far more often than those in the
// middle. What fails everywhere is the requests' own fault.
func (e *endpoint) faulty() bool { return e.faults.value-e.service.usual >= faultyShare }

// updateUsual updates the share of failures of the endpoints in the middle.
func (sv *service) updateUsual(now time.Time) {
	if len(sv.endpoints) == 0 {
		return
	}
	sv.usualAt = now
	shares := make([]float64, 0, len(sv.endpoints))
	for _, e := range sv.endpoints {
		shares = append(shares, e.faults.value)
	}
	slices.Sort(shares)
	sv.usual = shares[(len(shares)-1)/2]
}
