package bbtgrant

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

const (
	refusalPause     = time.Second // after an endpoint refused a dispatch
	targetTokenGap   = 0.0385      // seconds between tokens
	lowTokenGap      = 0.0365      // seconds between tokens, below which the limit may rise
	minLimitFraction = 0.6         // of the slots
	limitInterval    = 2 * time.Second
	minGrowth        = 4
	sharedPeriod     = 10 * time.Second // after a report with foreign work
	growthFraction   = 0.17             // of the slots
)

// endpoint is the owner's state of one owned endpoint.
type endpoint struct {
	record           bbtfleet.Endpoint
	incarnation      bbtfleet.Incarnation
	warmthKnown      bool      // a report has told whether this run is warm
	lastReport       time.Time // time of the newest report; zero before the first
	adoptedAt        time.Time
	formerOwnerUntil time.Time // until then a former owner's permits may be used
	pausedUntil      time.Time // until then nothing is granted
	refusedAt        time.Time // when it refused a dispatch; zero once a later report tells its run
	outstanding      int       // permits that may be running
	isolated         int       // outstanding permits for requests that ask to run alone
	foreign          int       // requests of other owners
	sharedUntil      time.Time // until then another owner is taken to grant too
	limit            int       // requests it serves well at once
	limitChangedAt   time.Time // when the limit last moved
	ramp             ramp
	pace             pace
	history          history
	cached           prefixes
}

func newEndpoint(now time.Time, record bbtfleet.Endpoint, formerOwnerUntil time.Time) *endpoint {
	e := &endpoint{record: record, adoptedAt: now, formerOwnerUntil: formerOwnerUntil, limit: record.Slots(), pace: newPace(now)}
	e.ramp.reset(now)
	return e
}

// headroom returns how many more requests the endpoint can take now. While a
// former owner's permits may still be used it leaves half of the room to them;
// a cold endpoint with foreign work it serves no more than half.
func (e *endpoint) headroom(now time.Time) int {
	if now.Before(e.pausedUntil) {
		return 0
	}
	most := min(e.limit, e.ramp.cap(e.record.Slots()), e.history.recentMean(now)+e.foreign+e.growth())
	if !e.refusedAt.IsZero() {
		most = min(most, rampStart)
	}
	headroom := most - e.foreign - e.outstanding
	switch {
	case now.Before(e.formerOwnerUntil):
		return min(headroom, (most-e.foreign+1)/2-e.outstanding)
	case !e.ramp.warm && now.Before(e.sharedUntil):
		return min(headroom, (most+1)/2-e.outstanding)
	default:
		return headroom
	}
}

// growth returns by how many requests the endpoint's work may grow within
// growthTime, so that one that has turned cold unnoticed is not overrun.
func (e *endpoint) growth() int {
	return max(minGrowth, int(growthFraction*float64(e.record.Slots())))
}

// utilization returns the part of the endpoint's limit that is in use.
func (e *endpoint) utilization() float64 {
	return float64(e.outstanding+e.foreign) / float64(max(1, e.limit))
}

// count changes the number of outstanding permits for a request.
func (e *endpoint) count(now time.Time, r Registration, by int) {
	e.outstanding += by
	if r.Isolated {
		e.isolated += by
	}
	e.history.note(now, e.outstanding)
}

// report takes a load report in.
func (e *endpoint) report(now time.Time, r LoadReport) {
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
	if !e.warmthKnown && r.MeasuredAt.After(e.adoptedAt) {
		e.warmthKnown = true
		if r.Served >= warmServed {
			e.ramp.setWarm()
		}
	}
	if r.Queued == 0 && r.Running > 0 && r.MeasuredAt.After(e.ramp.raised) {
		e.ramp.recordSuccess()
		e.ramp.raise(now, e.record.Slots())
	}
	e.foreign = max(0, r.Running+r.Queued-e.history.peakAround(r.MeasuredAt))
	if e.foreign > 0 {
		e.sharedUntil = now.Add(sharedPeriod)
	}
	if r.Queued > 0 && e.foreign == 0 && e.ramp.warm {
		e.lower(now, max(1, r.Running))
	}
}

// done takes the end of a dispatch in that was granted at the given time.
func (e *endpoint) done(now, granted time.Time, d DispatchEnded) {
	if d.Outcome == Refused {
		e.pausedUntil = now.Add(refusalPause)
		e.ramp.restartStep(now)
		e.refusedAt = now
		return
	}
	if e.ramp.done(now, d) {
		e.ramp.reset(now)
		e.cached = prefixes{}
	}
	e.ramp.raise(now, e.record.Slots())
	if d.Outcome == Finished {
		e.clearRefusal(now, granted)
		e.pace.learn(d)
		e.adjust(now)
	}
}

// clearRefusal ends the doubt about an endpoint that gives no load reports: it may
// be a new run, so its ramp starts from one.
func (e *endpoint) clearRefusal(now, granted time.Time) {
	if e.lastReport.IsZero() && !e.refusedAt.IsZero() && granted.After(e.refusedAt) {
		e.refusedAt = time.Time{}
		e.ramp.reset(now)
	}
}

// adjust moves the limit so that tokens keep coming fast enough.
func (e *endpoint) adjust(now time.Time) {
	if now.Sub(e.limitChangedAt) < limitInterval {
		return
	}
	switch {
	case e.pace.tokenGap > targetTokenGap && e.utilization() > minLimitFraction:
		e.lower(now, e.limit-1)
	case e.pace.tokenGap < lowTokenGap && e.limit < e.record.Slots():
		e.limit++
		e.limitChangedAt = now
	}
}

// lower sets the limit, within its floor.
func (e *endpoint) lower(now time.Time, limit int) {
	floor := max(1, int(minLimitFraction*float64(e.record.Slots())))
	e.limit = max(floor, min(e.limit, limit))
	e.limitChangedAt = now
}

// unread returns the prompt tokens of a request that the endpoint has to read.
func (e *endpoint) unread(r Registration) float64 {
	if e.cached.contains(r.Prefix) {
		return float64(max(0, r.PromptTokens-r.PrefixTokens))
	}
	return float64(r.PromptTokens)
}

// configure takes a changed record over.
func (e *endpoint) configure(record bbtfleet.Endpoint) {
	if record.Slots() != e.record.Slots() {
		e.limit = record.Slots()
	}
	e.record = record
}
