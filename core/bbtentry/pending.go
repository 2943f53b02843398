package bbtentry

import (
	"cmp"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtschedule"
)

// replyDelay is how long a request waits for a permit or a refusal before the next
// Probe asks whether the owner knows the request. Requests in a queue wait as long, too.
const replyDelay = 200 * time.Millisecond

// pending returns the registrations without a reply for replyDelay since the owner was
// last asked, those first that have waited longest, at most bbtschedule.MaxPending.
// The others follow with the next Probe.
func (e *Entry) pending(now time.Time) []bbtschedule.Pending {
	var waiting []*call
	for _, c := range e.calls {
		if !c.running && now.Sub(c.askedAt) >= replyDelay {
			waiting = append(waiting, c)
		}
	}
	slices.SortFunc(waiting, func(a, b *call) int { return cmp.Or(a.askedAt.Compare(b.askedAt), cmp.Compare(a.id, b.id)) })
	var out []bbtschedule.Pending
	for _, c := range waiting[:min(len(waiting), bbtschedule.MaxPending)] {
		c.askedAt = now
		out = append(out, bbtschedule.Pending{ID: c.registeredID, Attempt: c.dispatchNumber})
	}
	return out
}

// registerAgain registers the requests that the owner does not know, whose
// registrations were lost with a message or with an earlier process of the owner.
func (e *Entry) registerAgain(now time.Time, unknown []bbtschedule.Pending) []Action {
	var out []Action
	for _, p := range unknown[:min(len(unknown), bbtschedule.MaxPending)] {
		if c := e.callOf(p.ID); c != nil && c.registeredID == p.ID && !c.running && c.dispatchNumber == p.Attempt {
			out = append(out, e.register(now, c)...)
		}
	}
	return out
}

// usesPermit reports whether a permit is the one under which the request runs.
func (c *call) usesPermit(from bbtfleet.HostID, p bbtschedule.Permit) bool {
	return c != nil && c.registeredID == p.ID && c.running && c.dispatchNumber == p.Attempt && c.permitOwner == from && c.endpoint == p.Endpoint
}
