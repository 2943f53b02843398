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

// EndpointDraining records that the endpoint of a dispatch has said in its answer that
// it is draining. This host sends it no further request, whatever an owner permits. The
// owner is told with the reports on the dispatch.
func (e *Entry) EndpointDraining(now time.Time, d Dispatch) []Action {
	if !e.draining.Add(now, d.incarnation()) {
		return nil
	}
	return []Action{EndpointDrains{Endpoint: d.Endpoint}}
}

// drainingOf returns the incarnation of the endpoint of a call if it has said to this
// host that it is draining.
func (e *Entry) drainingOf(c *call) bbtschedule.Incarnation {
	if !e.draining.Has(c.incarnation) {
		return bbtschedule.Incarnation{}
	}
	return c.incarnation
}

// KeepDraining forgets the endpoints that have said that they are draining and have not
// been listed for long.
func (e *Entry) KeepDraining(now time.Time, listed func(endpoint string) bool) {
	e.draining.Keep(now, listed)
}

// returnPermit returns the permit of a waiting request for an endpoint that is draining,
// which the sender does not know. If the sender is the owner that the request waits
// for, it asks for another endpoint, which is no further attempt.
func (e *Entry) returnPermit(now time.Time, from bbtfleet.HostID, c *call, p bbtschedule.Permit) []Action {
	out := []Action{
		PermitReturned{ID: c.id, Endpoint: p.Endpoint},
		Send{from, bbtschedule.Done{ID: p.ID, Attempt: p.Attempt, Outcome: bbtschedule.Unused, Draining: p.Incarnation()}},
	}
	if !slices.Contains(c.triedEndpoints, p.Endpoint) {
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
