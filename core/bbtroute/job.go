package bbtroute

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtverdict"
)

// noDeadline is the time that a request without a deadline may take.
const noDeadline = time.Hour

// job is the state of one request between Submit and its end.
type job struct {
	Request
	since    time.Time         // when it was submitted
	order    []bbtfleet.HostID // owners in the order to try
	asked    []bbtfleet.HostID // owners that hold a registration
	tried    []bbtfleet.HostID // owners that shed the request or died
	late     int               // owners that can't meet the deadline
	reason   bbtverdict.Reason // why the last owner shed the request or its dispatch failed
	retry    time.Duration     // when to resend, as the last owner that shed it says
	width    int               // owners to register with at once
	widenAt  time.Time         // when to register with more owners; zero for never
	pauses   int               // waits for an endpoint to get an owner
	dispatch *dispatch         // nil while the request waits
	repeats  int               // dispatches after one of unknown outcome
}

// dispatch is one dispatch under way.
type dispatch struct {
	owner  bbtfleet.HostID
	permit bbtgrant.Permit
	start  time.Time
	first  time.Time // zero before the first token
}

// verdict returns what is known of the execution of a request that has no
// dispatch under way.
func (j *job) verdict() bbtverdict.Verdict {
	if j.repeats > 0 {
		return bbtverdict.MayHaveRun
	}
	return bbtverdict.NotRun
}

// left returns the time to the deadline, or noDeadline.
func (j *job) left(now time.Time) time.Duration {
	if j.Deadline.IsZero() {
		return noDeadline
	}
	return j.Deadline.Sub(now)
}

// drop forgets the registration with an owner and reports whether there was
// one.
func (j *job) drop(h bbtfleet.HostID) bool {
	i := slices.Index(j.asked, h)
	if i < 0 {
		return false
	}
	j.asked = slices.Delete(j.asked, i, i+1)
	return true
}

// untried returns the first owner in order that was not asked yet.
func (j *job) untried() (bbtfleet.HostID, bool) {
	for _, h := range j.order {
		if !slices.Contains(j.asked, h) && !slices.Contains(j.tried, h) {
			return h, true
		}
	}
	return "", false
}

// done describes the end of the dispatch to its owner.
func (j *job) done(now time.Time, o Outcome) bbtgrant.DispatchEnd {
	d := bbtgrant.DispatchEnd{
		Permit:  j.dispatch.permit.ID,
		Outcome: o.Kind,
		OutputTokens:  o.OutputTokens,
		Elapsed: now.Sub(j.dispatch.start),
	}
	if !j.dispatch.first.IsZero() {
		d.TimeToFirstToken = j.dispatch.first.Sub(j.dispatch.start)
	}
	return d
}
