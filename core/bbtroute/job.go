package bbtroute

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtverdict"
)

// defaultTimeLeft is the time allowed for a request without a deadline.
const defaultTimeLeft = time.Hour

// job is the state of a request from Submit until its end.
type job struct {
	Request
	submittedAt   time.Time
	candidates    []bbtfleet.HostID // owners in the order of preference
	registered    []bbtfleet.HostID // owners that hold a registration
	unavailable   []bbtfleet.HostID // owners that shed the request or have died
	deadlineSheds int               // owners that shed the request because of its deadline
	reason        bbtverdict.Reason // why the last owner shed the request or its dispatch failed
	retryAfter    time.Duration     // delay before the caller may resend, from the last owner that shed it
	maxOwners     int               // owners to be registered with at the same time
	registerAt    time.Time         // when to register with more owners, or again after ReasonNoOwner; zero for never
	ownerWaits    int               // times the request has waited for an owner
	dispatch      *dispatch         // nil while the request waits
	repeats       int               // retries after a dispatch of unknown outcome
}

type dispatch struct {
	owner      bbtfleet.HostID
	permit     bbtgrant.Permit
	start      time.Time
	firstToken time.Time // zero before the first token
}

// verdict returns whether a request without a running dispatch may have been
// executed.
func (j *job) verdict() bbtverdict.Verdict {
	if j.repeats > 0 {
		return bbtverdict.MayHaveRun
	}
	return bbtverdict.NotRun
}

// timeLeft returns the time to the deadline, or defaultTimeLeft if there is
// none.
func (j *job) timeLeft(now time.Time) time.Duration {
	if j.Deadline.IsZero() {
		return defaultTimeLeft
	}
	return j.Deadline.Sub(now)
}

// removeOwner removes the registration with an owner and reports whether there
// was one.
func (j *job) removeOwner(h bbtfleet.HostID) bool {
	i := slices.Index(j.registered, h)
	if i < 0 {
		return false
	}
	j.registered = slices.Delete(j.registered, i, i+1)
	return true
}

// nextCandidate returns the first candidate that is neither registered nor
// unavailable.
func (j *job) nextCandidate() (bbtfleet.HostID, bool) {
	for _, h := range j.candidates {
		if !slices.Contains(j.registered, h) && !slices.Contains(j.unavailable, h) {
			return h, true
		}
	}
	return "", false
}

// dispatchEnded returns the message that reports the end of the dispatch to the
// owner.
func (j *job) dispatchEnded(now time.Time, o Outcome) bbtgrant.DispatchEnded {
	d := bbtgrant.DispatchEnded{
		Permit:       j.dispatch.permit.ID,
		Outcome:      o.Kind,
		OutputTokens: o.OutputTokens,
		Elapsed:      now.Sub(j.dispatch.start),
	}
	if !j.dispatch.firstToken.IsZero() {
		d.TimeToFirstToken = j.dispatch.firstToken.Sub(j.dispatch.start)
	}
	return d
}
