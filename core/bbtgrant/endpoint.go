package bbtgrant

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

const (
	refusedPause = time.Second // after an endpoint refused a dispatch
	gapGoal      = 0.0385      // seconds between tokens
	gapEasy      = 0.0365      // seconds between tokens, below which the limit may rise
	limitFloor   = 0.6         // of the slots
	limitStep    = 2 * time.Second
	growthLeast  = 4
	sharedTime   = 10 * time.Second // after a report with foreign work
	growthShare  = 0.17             // of the slots
)

// endpoint is the owner's state of one owned endpoint.
type endpoint struct {
	record      bbtfleet.Endpoint
	incarnation bbtfleet.Incarnation
	known       bool      // a report has told whether this run is warm
	reported    time.Time // time of the newest report; zero before the first
	adopted     time.Time
	settled     time.Time // until then a former owner's permits may be used
	paused      time.Time // until then nothing is granted
	doubted     time.Time // when it refused a dispatch; zero once a later report tells its run
	outstanding int       // permits that may be running
	alone       int       // outstanding permits for requests that ask to run alone
	foreign     int       // requests of other owners
	shared      time.Time // until then another owner is taken to grant too
	limit       int       // requests it serves well at once
	adjusted    time.Time // when the limit last moved
	ramp        ramp
	pace        pace
	history     history
	held        prefixes
}

func newEndpoint(now time.Time, record bbtfleet.Endpoint, settled time.Time) *endpoint {
	e := &endpoint{record: record, adopted: now, settled: settled, limit: record.Slots(), pace: newPace(now)}
	e.ramp.cool(now)
	return e
}

// room returns how many more requests the endpoint can take now. While a
// former owner's permits may still be used it leaves half of the room to them;
// a cold endpoint with foreign work it serves no more than half.
func (e *endpoint) room(now time.Time) int {
	if now.Before(e.paused) {
		return 0
	}
	most := min(e.limit, e.ramp.cap(e.record.Slots()), e.history.before(now)+e.foreign+e.growth())
	if !e.doubted.IsZero() {
		most = min(most, rampFirst)
	}
	room := most - e.foreign - e.outstanding
	switch {
	case now.Before(e.settled):
		return min(room, (most-e.foreign+1)/2-e.outstanding)
	case !e.ramp.warm && now.Before(e.shared):
		return min(room, (most+1)/2-e.outstanding)
	default:
		return room
	}
}

// growth returns by how many requests the endpoint's work may grow within
// growthTime, so that one that has turned cold unnoticed is not overrun.
func (e *endpoint) growth() int {
	return max(growthLeast, int(growthShare*float64(e.record.Slots())))
}

// use returns the part of the endpoint's limit that is in use.
func (e *endpoint) use() float64 {
	return float64(e.outstanding+e.foreign) / float64(max(1, e.limit))
}

// count changes the number of outstanding permits for a request.
func (e *endpoint) count(now time.Time, r Registration, by int) {
	e.outstanding += by
	if r.Isolated {
		e.alone += by
	}
	e.history.note(now, e.outstanding)
}

// report takes a load report in.
func (e *endpoint) report(now time.Time, r LoadReport) {
	if r.Incarnation < e.incarnation || !r.MeasuredAt.After(e.reported) {
		return
	}
	e.reported = r.MeasuredAt
	if r.MeasuredAt.After(e.doubted) {
		e.doubted = time.Time{}
	}
	if r.Incarnation != e.incarnation {
		e.incarnation = r.Incarnation
		e.ramp.cool(now)
		e.held = prefixes{}
		e.known = false
	}
	if !e.known && r.MeasuredAt.After(e.adopted) {
		e.known = true
		if r.Served >= warmServed {
			e.ramp.heat()
		}
	}
	if r.Queued == 0 && r.Running > 0 && r.MeasuredAt.After(e.ramp.raised) {
		e.ramp.prove()
		e.ramp.raise(now, e.record.Slots())
	}
	e.foreign = max(0, r.Running+r.Queued-e.history.at(r.MeasuredAt))
	if e.foreign > 0 {
		e.shared = now.Add(sharedTime)
	}
	if r.Queued > 0 && e.foreign == 0 && e.ramp.warm {
		e.lower(now, max(1, r.Running))
	}
}

// done takes the end of a dispatch in that was granted at the given time.
func (e *endpoint) done(now, granted time.Time, d DispatchEnd) {
	if d.Outcome == Refused {
		e.paused = now.Add(refusedPause)
		e.ramp.hold(now)
		e.doubted = now
		return
	}
	if e.ramp.done(now, d) {
		e.ramp.cool(now)
		e.held = prefixes{}
	}
	e.ramp.raise(now, e.record.Slots())
	if d.Outcome == Finished {
		e.answered(now, granted)
		e.pace.learn(d)
		e.adjust(now)
	}
}

// answered ends the doubt about an endpoint that gives no load reports: it may
// be a new run, so its ramp starts from one.
func (e *endpoint) answered(now, granted time.Time) {
	if e.reported.IsZero() && !e.doubted.IsZero() && granted.After(e.doubted) {
		e.doubted = time.Time{}
		e.ramp.cool(now)
	}
}

// adjust moves the limit so that tokens keep coming fast enough.
func (e *endpoint) adjust(now time.Time) {
	if now.Sub(e.adjusted) < limitStep {
		return
	}
	switch {
	case e.pace.gap > gapGoal && e.use() > limitFloor:
		e.lower(now, e.limit-1)
	case e.pace.gap < gapEasy && e.limit < e.record.Slots():
		e.limit++
		e.adjusted = now
	}
}

// lower sets the limit, within its floor.
func (e *endpoint) lower(now time.Time, limit int) {
	floor := max(1, int(limitFloor*float64(e.record.Slots())))
	e.limit = max(floor, min(e.limit, limit))
	e.adjusted = now
}

// unread returns the prompt tokens of a request that the endpoint has to read.
func (e *endpoint) unread(r Registration) float64 {
	if e.held.hold(r.Prefix) {
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
