package bbtgrant

import "time"

const (
	warmServed = 64 // requests a run has finished when it counts as warm
	rampStep   = 4 * time.Second
	rampFirst  = 1
	lostBurst  = 2 // dispatches lost within burstTime that mean a new run
	burstTime  = 5 * time.Second
	jumpFactor = 3.0 // of first-token times
	jumpMargin = 500 * time.Millisecond
	jumpCount  = 3 // slow first tokens in a row
	warmWeight = 0.05
)

// ramp limits what a cold endpoint gets: one request at first, twice as many
// with each step. The zero value is cold.
type ramp struct {
	warm   bool
	limit  int
	raised time.Time
	proofs int // that the endpoint serves what it was given, since the last step
	lost   int
	lostAt time.Time
	slow   int     // slow first tokens in a row
	first  float64 // usual first-token time in seconds
}

// cool starts the ramp from one.
func (r *ramp) cool(now time.Time) {
	*r = ramp{limit: rampFirst, raised: now, first: r.first}
}

// hold starts the current step anew, as a cold endpoint that does not answer
// has not warmed up either.
func (r *ramp) hold(now time.Time) { r.raised, r.proofs = now, 0 }

// heat ends the ramp.
func (r *ramp) heat() { r.warm = true }

// prove records that the endpoint serves what it was given: a dispatch has
// finished, or a load report shows work and no queue.
func (r *ramp) prove() { r.proofs++ }

// raise doubles the limit after a step without trouble, up to slots.
func (r *ramp) raise(now time.Time, slots int) {
	if r.warm || r.proofs == 0 || now.Sub(r.raised) < rampStep {
		return
	}
	r.limit *= 2
	r.raised, r.proofs = now, 0
	r.warm = r.limit >= slots
}

// next returns when the limit may rise; the zero time if it won't.
func (r *ramp) next() time.Time {
	if r.warm || r.proofs == 0 {
		return time.Time{}
	}
	return r.raised.Add(rampStep)
}

// cap returns the most requests the endpoint may hold.
func (r *ramp) cap(slots int) int {
	if r.warm {
		return slots
	}
	return min(slots, r.limit)
}

// done takes the end of a dispatch in and reports whether it shows that the
// endpoint has turned cold.
func (r *ramp) done(now time.Time, d DispatchEnd) bool {
	switch d.Outcome {
	case Finished:
		r.prove()
		return r.jumped(d.TimeToFirstToken)
	case Lost:
		if now.Sub(r.lostAt) > burstTime {
			r.lost = 0
		}
		r.lost++
		r.lostAt = now
		return r.lost >= lostBurst
	default:
		return false
	}
}

// jumped reports whether first tokens have become much slower than usual.
func (r *ramp) jumped(first time.Duration) bool {
	if !r.warm {
		return false
	}
	if r.first > 0 && first.Seconds() > r.first*jumpFactor+jumpMargin.Seconds() {
		r.slow++
		return r.slow >= jumpCount
	}
	r.slow = 0
	if r.first == 0 {
		r.first = first.Seconds()
	}
	r.first += warmWeight * (first.Seconds() - r.first)
	return false
}
