package bbtgrant

import "time"

const (
	warmServed       = 64 // requests a run has finished when it counts as warm
	rampStep         = 4 * time.Second
	rampStart        = 1
	lossThreshold    = 2 // dispatches lost within burstTime that mean a new run
	lossWindow       = 5 * time.Second
	slowFactor       = 3.0 // of first-token times
	slowMargin       = 500 * time.Millisecond
	slowThreshold    = 3 // slow first tokens in a row
	firstTokenWeight = 0.05
)

// ramp limits what a cold endpoint gets: one request at first, twice as many
// with each step. The zero value is cold.
type ramp struct {
	warm       bool
	limit      int
	raised     time.Time
	successes  int // that the endpoint serves what it was given, since the last step
	losses     int
	lastLoss   time.Time
	slowCount  int     // slow first tokens in a row
	firstToken float64 // usual first-token time in seconds
}

// reset starts the ramp from one.
func (r *ramp) reset(now time.Time) {
	*r = ramp{limit: rampStart, raised: now, firstToken: r.firstToken}
}

// restartStep starts the current step anew, as a cold endpoint that does not answer
// has not warmed up either.
func (r *ramp) restartStep(now time.Time) { r.raised, r.successes = now, 0 }

// setWarm ends the ramp.
func (r *ramp) setWarm() { r.warm = true }

// recordSuccess records that the endpoint serves what it was given: a dispatch has
// finished, or a load report shows work and no queue.
func (r *ramp) recordSuccess() { r.successes++ }

// raise doubles the limit after a step without trouble, up to slots.
func (r *ramp) raise(now time.Time, slots int) {
	if r.warm || r.successes == 0 || now.Sub(r.raised) < rampStep {
		return
	}
	r.limit *= 2
	r.raised, r.successes = now, 0
	r.warm = r.limit >= slots
}

// next returns when the limit may rise; the zero time if it won't.
func (r *ramp) next() time.Time {
	if r.warm || r.successes == 0 {
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
func (r *ramp) done(now time.Time, d DispatchEnded) bool {
	switch d.Outcome {
	case Finished:
		r.recordSuccess()
		return r.slowedDown(d.TimeToFirstToken)
	case Lost:
		if now.Sub(r.lastLoss) > lossWindow {
			r.losses = 0
		}
		r.losses++
		r.lastLoss = now
		return r.losses >= lossThreshold
	default:
		return false
	}
}

// slowedDown reports whether first tokens have become much slower than usual.
func (r *ramp) slowedDown(firstToken time.Duration) bool {
	if !r.warm {
		return false
	}
	if r.firstToken > 0 && firstToken.Seconds() > r.firstToken*slowFactor+slowMargin.Seconds() {
		r.slowCount++
		return r.slowCount >= slowThreshold
	}
	r.slowCount = 0
	if r.firstToken == 0 {
		r.firstToken = firstToken.Seconds()
	}
	r.firstToken += firstTokenWeight * (firstToken.Seconds() - r.firstToken)
	return false
}
