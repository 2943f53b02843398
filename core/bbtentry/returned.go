package bbtentry

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtschedule"
	"bluebelltray/core/bbtverdict"
)

// maxReturned bounds how many permits a request returns, if owners go on to permit
// endpoints that take none.
const maxReturned = 16

// returnPermit returns the permit of a waiting request for an endpoint that is draining
// or wants no requests from this host, which the sender does not know. If the sender is
// the owner that the request waits for, it asks for another endpoint, which is no further
// attempt. An endpoint that wants no requests for a time may take the request later,
// unless the owner does not learn.
func (e *Entry) returnPermit(now time.Time, from bbtfleet.HostID, c *call, p bbtschedule.Permit) []Action {
	i := p.Incarnation()
	done := bbtschedule.Done{ID: p.ID, Attempt: p.Attempt, Outcome: bbtschedule.Unused, Draining: e.drainingOf(i), Pause: e.pauseOf(now, i)}
	drains := done.Draining != bbtschedule.Incarnation{}
	out := []Action{PermitReturned{ID: c.id, Endpoint: p.Endpoint, Draining: drains}, Send{from, done}}
	if (drains || c.returned > 0) && !slices.Contains(c.triedEndpoints, p.Endpoint) {
		c.triedEndpoints = append(c.triedEndpoints, p.Endpoint)
	}
	if from != e.owner {
		return out
	}
	if c.returned++; c.returned > maxReturned {
		return append(out, e.fail(c, bbtverdict.ReasonPoolFull, 0)...)
	}
	return append(out, e.register(now, c)...)
}
