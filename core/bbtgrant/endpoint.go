package bbtgrant

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

const (
	refusalPause     = time.Second      // no grants after a refused dispatch
	maxTokenGap      = 0.0385           // seconds between tokens, above which the limit falls
	minTokenGap      = 0.0365           // seconds between tokens, below which the limit may rise
	minLimitFraction = 0.6              // of the slots, the lowest limit; also the utilization above which slow tokens lower the limit
	limitInterval    = 2 * time.Second  // between changes of the limit
	growthFloor      = 4                // smallest value of maxGrowth, in requests
	sharedPeriod     = 10 * time.Second // how long another owner is assumed to grant permits after a load report showed its requests
	growthFraction   = 0.17             // of the slots, in growthWindow
)

// endpoint is the owner's state of one owned endpoint.
type endpoint struct {
	record           bbtfleet.Endpoint
	incarnation      bbtfleet.Incarnation
	warmthKnown      bool      // a load report has shown whether this incarnation is warm
	lastReport       time.Time // when the newest load report was measured; zero before the first
	ownedSince       time.Time
	formerOwnerUntil time.Time // end of the time in which a former owner's permits may be used
	pausedUntil      time.Time // no grants before then
	refusedAt        time.Time // when it refused a dispatch; zero once a later load report or answer has arrived
	outstanding      int       // permits whose requests may be running
	isolated         int       // outstanding permits of isolated requests
	foreign          int       // requests of other owners, as of the newest load report
	sharedUntil      time.Time // another owner is assumed to grant permits until then
	limit            int       // concurrent requests that keep tokens arriving in time
	limitChangedAt   time.Time // when the limit last changed
	ramp             ramp
	pace             pace
	history          history
	cached           prefixes
}

func newEndpoint(now time.Time, record bbtfleet.Endpoint, formerOwnerUntil time.Time) *endpoint {
	e := &endpoint{record: record, ownedSince: now, formerOwnerUntil: formerOwnerUntil, limit: record.Slots(), pace: newPace(now)}
	e.ramp.reset(now)
	return e
}

// headroom returns how many more permits may be granted now. While a former
// owner's permits may still be used, half of the capacity that running requests
// of other owners leave is reserved for the former owner. A cold endpoint that
// also serves other owners' requests gets at most half of maxRequests. The result
// is negative if more requests are running than are now allowed.
func (e *endpoint) headroom(now time.Time) int {
	if now.Before(e.pausedUntil) {
		return 0
	}
	maxRequests := min(e.limit, e.ramp.cap(e.record.Slots()), e.history.recentMean(now)+e.foreign+e.maxGrowth())
	if !e.refusedAt.IsZero() {
		maxRequests = min(maxRequests, rampStart)
	}
	headroom := maxRequests - e.foreign - e.outstanding
	switch {
	case now.Before(e.formerOwnerUntil):
		return min(headroom, (maxRequests-e.foreign+1)/2-e.outstanding)
	case !e.ramp.warm && now.Before(e.sharedUntil):
		return min(headroom, (maxRequests+1)/2-e.outstanding)
	default:
		return headroom
	}
}

// maxGrowth returns by how many requests the load of the endpoint may grow
// within growthWindow. The bound prevents the overload of an endpoint that has
// turned cold, until this is detected.
func (e *endpoint) maxGrowth() int {
	return max(growthFloor, int(growthFraction*float64(e.record.Slots())))
}

// utilization returns the fraction of the endpoint's limit that is in use.
func (e *endpoint) utilization() float64 {
	return float64(e.outstanding+e.foreign) / float64(max(1, e.limit))
}

// addOutstanding changes the number of outstanding permits by n, for a permit of
// the given request.
func (e *endpoint) addOutstanding(now time.Time, r Registration, n int) {
	e.outstanding += n
	if r.Isolated {
		e.isolated += n
	}
	e.history.record(now, e.outstanding)
}

// updateLoad updates the state from a load report. Reports that are older than
// the newest one, or of a former incarnation, are ignored.
func (e *endpoint) updateLoad(now time.Time, r LoadReport) {
	if r.Incarnation < e.incarnation || !r.MeasuredAt.After(e.lastReport) {
		return
	}
	e.lastReport = r.MeasuredAt
	if r.MeasuredAt.After(e.refusedAt) {
		e.refusedAt = time.Time{}
	}
	if r.Incarnation != e.incarnation {
		e.incarnation = r.Incarnation
		e.ramp.reset(now)
		e.cached = prefixes{}
		e.warmthKnown = false
	}
	if !e.warmthKnown && r.MeasuredAt.After(e.ownedSince) {
		e.warmthKnown = true
		if r.Served >= warmServed {
			e.ramp.setWarm()
		}
	}
	if r.Queued == 0 && r.Running > 0 && r.MeasuredAt.After(e.ramp.stepStart) {
		e.ramp.recordSuccess()
		e.ramp.raise(now, e.record.Slots())
	}
	e.foreign = max(0, r.Running+r.Queued-e.history.peakAround(r.MeasuredAt))
	if e.foreign > 0 {
		e.sharedUntil = now.Add(sharedPeriod)
	}
	if r.Queued > 0 && e.foreign == 0 && e.ramp.warm {
		e.reduceLimit(now, max(1, r.Running))
	}
}

// dispatchEnded processes the end of a dispatch whose permit was granted at
// grantedAt.
func (e *endpoint) dispatchEnded(now, grantedAt time.Time, d DispatchEnded) {
	if d.Outcome == Refused {
		e.pausedUntil = now.Add(refusalPause)
		e.ramp.restartStep(now)
		e.refusedAt = now
		return
	}
	if e.ramp.dispatchEnded(now, d) {
		e.ramp.reset(now)
		e.cached = prefixes{}
	}
	e.ramp.raise(now, e.record.Slots())
	if d.Outcome == Finished {
		e.clearRefusal(now, grantedAt)
		e.pace.learn(d)
		e.adjustLimit(now)
	}
}

// clearRefusal resets the refusal state of an endpoint that sends no load
// reports, once a dispatch granted after the refusal has finished. The endpoint
// may have restarted, so its ramp starts over.
func (e *endpoint) clearRefusal(now, grantedAt time.Time) {
	if e.lastReport.IsZero() && !e.refusedAt.IsZero() && grantedAt.After(e.refusedAt) {
		e.refusedAt = time.Time{}
		e.ramp.reset(now)
	}
}

// adjustLimit changes the limit to keep the mean time between tokens between
// minTokenGap and maxTokenGap. Slow tokens lower the limit only at a utilization
// above minLimitFraction: up to that, no more requests are running than the lowest
// limit allows, so a lower limit would not reduce the load.
func (e *endpoint) adjustLimit(now time.Time) {
	if now.Sub(e.limitChangedAt) < limitInterval {
		return
	}
	switch {
	case e.pace.tokenGap > maxTokenGap && e.utilization() > minLimitFraction:
		e.reduceLimit(now, e.limit-1)
	case e.pace.tokenGap < minTokenGap && e.limit < e.record.Slots():
		e.limit++
		e.limitChangedAt = now
	}
}

// reduceLimit reduces the limit, but not below minLimitFraction of the slots.
func (e *endpoint) reduceLimit(now time.Time, limit int) {
	floor := max(1, int(minLimitFraction*float64(e.record.Slots())))
	e.limit = max(floor, min(e.limit, limit))
	e.limitChangedAt = now
}

// unread returns the number of the request's unread tokens, the prompt tokens
// that the endpoint has to process, without those of a cached prefix.
func (e *endpoint) unread(r Registration) float64 {
	if e.cached.contains(r.Prefix) {
		return float64(max(0, r.InputTokens-r.PrefixTokens))
	}
	return float64(r.InputTokens)
}

// configure applies a changed configuration record. A change of the slots
// resets the limit.
func (e *endpoint) configure(record bbtfleet.Endpoint) {
	if record.Slots() != e.record.Slots() {
		e.limit = record.Slots()
	}
	e.record = record
}
