package bbtentry

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtschedule"
)

// maxDispatches bounds the dispatches of one request, including those that could
// not connect to the endpoint.
const maxDispatches = 8

// Submission is a request as a host has read it from the caller.
type Submission struct {
	Registration      bbtschedule.Registration // ID, Attempt, RemainingTime, RemainingObjective, Exclude and Retry are set by Entry
	MaxAttempts       int                      // maximum number of dispatches, not counting those that could not connect
	Deadline          time.Time                // when the caller gives up or the route's timeout expires
	ObjectiveDeadline time.Time                // when the latency objective is missed
}

// call is the state of one request.
type call struct {
	id              bbtschedule.RequestID
	registeredID    bbtschedule.RequestID // by which owners know it; differs from id after a relocation
	submission      Submission
	dispatchNumber  int  // number of the dispatch that is requested or in progress, from 0
	dispatched      int  // dispatches that reached an endpoint
	ran             bool // an endpoint may have run the request
	triedEndpoints  []string
	running         bool
	responseStarted bool
	endpoint        string
	incarnation     bbtschedule.Incarnation // of endpoint
	permitOwner     bbtfleet.HostID         // owner that issued the permit
	permittedAt     time.Time
	askedAt         time.Time   // when the owner was last asked for the permit, or for a lost reply
	relocation      *relocation // nil unless another endpoint is looked for
	relocations     int         // dispatches to another endpoint that ended before the one at the silent endpoint
	returned        int         // permits returned
}

// timeLeft returns the time until the deadline.
func (c *call) timeLeft(now time.Time) time.Duration { return c.submission.Deadline.Sub(now) }

// registration returns the message that asks the owner for a permit.
func (c *call) registration(now time.Time) bbtschedule.Registration {
	r := c.submission.Registration
	r.ID, r.Attempt = c.registeredID, c.dispatchNumber
	r.RemainingTime = c.timeLeft(now)
	r.RemainingObjective = c.submission.ObjectiveDeadline.Sub(now)
	r.Exclude = c.triedEndpoints
	r.Retry = c.dispatched > 0
	r.Uncharged = c.dispatchNumber > 0 && !c.ran
	return r
}

// takeover returns the state of the dispatches in progress for a new owner.
func (c *call) takeover(now time.Time) []bbtschedule.Running {
	out := []bbtschedule.Running{{
		Registration: c.registration(now),
		Endpoint:     c.endpoint,
		FirstEvent:   c.responseStarted,
		Elapsed:      now.Sub(c.permittedAt),
	}}
	if rel := c.relocation; rel != nil && rel.isDispatched() {
		out = append(out, bbtschedule.Running{Registration: rel.registration(now, c), Endpoint: rel.permit.Endpoint, Elapsed: now.Sub(rel.dispatchedAt)})
	}
	return out
}

// dispatch returns the action that sends the request to the endpoint of a permit.
func (c *call) dispatch(from bbtfleet.HostID, p *bbtschedule.Permit) Dispatch {
	return Dispatch{ID: c.id, Attempt: p.Attempt, Endpoint: p.Endpoint, Address: p.Address, StartTimeMS: p.StartTimeMS,
		Decision: Decision{Owner: from, Running: p.Running}}
}

// run records that the request runs at the endpoint of a permit since a time.
func (c *call) run(since time.Time, from bbtfleet.HostID, p *bbtschedule.Permit) {
	c.running, c.responseStarted = true, false
	c.endpoint, c.incarnation, c.permittedAt, c.permitOwner = p.Endpoint, p.Incarnation(), since, from
}
