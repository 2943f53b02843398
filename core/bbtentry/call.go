package bbtentry

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtschedule"
)

// mostAttempts bounds the dispatches of one request, those without a
// connection included.
const mostAttempts = 8

// Submission is what a host knows of a request when it has read it.
type Submission struct {
	Registration      bbtschedule.Registration // its Left, Objective and Exclude are filled in for each dispatch
	MaxAttempts       int                      // endpoints that the request may be sent to
	Deadline          time.Time                // the caller gives up or the route's timeout is over
	ObjectiveDeadline time.Time                // the latency objective ends
}

// call is one request.
type call struct {
	id         bbtschedule.RequestID
	submission Submission
	attempt    int // number of the dispatch that is asked for or under way
	sent       int // dispatches that reached an endpoint
	tried      []string
	running    bool
	began      bool
	endpoint   string
	from       bbtfleet.HostID // owner that gave the permit
	granted    time.Time
}

// left returns the time until the caller gives up.
func (c *call) left(now time.Time) time.Duration { return c.submission.Deadline.Sub(now) }

// registration returns what the owner has to know of the request.
func (c *call) registration(now time.Time) bbtschedule.Registration {
	r := c.submission.Registration
	r.ID, r.Attempt = c.id, c.attempt
	r.Left = c.left(now)
	r.Objective = c.submission.ObjectiveDeadline.Sub(now)
	r.Exclude = c.tried
	r.Repeat = c.sent > 0
	return r
}

// takeover returns what a new owner has to know of a dispatch under way.
func (c *call) takeover(now time.Time) bbtschedule.Running {
	return bbtschedule.Running{
		Registration: c.registration(now),
		Endpoint:     c.endpoint,
		Began:        c.began,
		For:          now.Sub(c.granted),
	}
}
