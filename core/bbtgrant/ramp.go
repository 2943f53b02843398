package bbtgrant

import "time"

const (
	warmServed       = 64              // finished requests after which an incarnation counts as warm
	rampStep         = 4 * time.Second // minimum time between doublings
	rampStart        = 1               // requests
	lossThreshold    = 2               // lost dispatches, at most lossWindow apart, that indicate a restart
	lossWindow       = 5 * time.Second
	slowFactor       = 3.0                    // times the usual time to first token
	slowMargin       = 500 * time.Millisecond // added to the scaled time
	slowThreshold    = 3                      // consecutive slow first tokens that indicate a restart
	firstTokenWeight = 0.05                   // of a new sample in the moving average
)

// ramp limits the concurrent requests of a cold endpoint. An endpoint is cold
// when it is newly owned, has restarted or seems to have restarted. The limit
// starts at rampStart and doubles with each step. The zero value is cold.
type ramp struct {
	warm       bool
	limit      int       // concurrent requests while cold
	stepStart  time.Time // when the current step of the ramp began
	successes  int       // recorded since the last step
	losses     int       // lost dispatches, at most lossWindow apart
	lastLoss   time.Time
	slowCount  int     // consecutive slow first tokens
	firstToken float64 // mean time to first token in seconds
}

// reset marks the endpoint as cold and starts the ramp over.
func (r *ramp) reset(now time.Time) {
	*r = ramp{limit: rampStart, stepStart: now, firstToken: r.firstToken}
}

// restartStep starts the current step over. An endpoint that refuses requests
// is not warming up meanwhile.
func (r *ramp) restartStep(now time.Time) { r.stepStart, r.successes = now, 0 }

// setWarm ends the ramp.
func (r *ramp) setWarm() { r.warm = true }

// recordSuccess records that the endpoint keeps up with its load: a dispatch
// has finished, or a load report shows running requests and no queue.
func (r *ramp) recordSuccess() { r.successes++ }

// raise doubles the limit if rampStep has passed and a success was recorded.
// The endpoint is warm once the limit reaches the slots.
func (r *ramp) raise(now time.Time, slots int) {
	if r.warm || r.successes == 0 || now.Sub(r.stepStart) < rampStep {
		return
	}
	r.limit *= 2
	r.stepStart, r.successes = now, 0
	r.warm = r.limit >= slots
}

// next returns when the limit may be raised, or the zero time if it will not
// be.
func (r *ramp) next() time.Time {
	if r.warm || r.successes == 0 {
		return time.Time{}
	}
	return r.stepStart.Add(rampStep)
}

// cap returns the maximum number of concurrent requests.
func (r *ramp) cap(slots int) int {
	if r.warm {
		return slots
	}
	return min(slots, r.limit)
}

// dispatchEnded processes the end of a dispatch and reports whether it indicates
// that the endpoint has turned cold.
func (r *ramp) dispatchEnded(now time.Time, d DispatchEnded) bool {
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

// slowedDown reports whether the time to first token has become much longer
// than usual.
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
