package bbtedge

import (
	"context"
	"time"

	"bluebelltray/core/bbtentry"
	"bluebelltray/core/bbtschedule"
	"bluebelltray/core/bbtverdict"
)

// Request is a caller's request in progress on an Edge. Its methods are for use by
// a single goroutine, the one that serves the caller.
type Request struct {
	edge       *Edge
	submission bbtentry.Submission
	id         bbtschedule.RequestID
	replies    chan reply
}

// reply is the entry role's answer to a request: a dispatch, or a refusal if err is
// set.
type reply struct {
	dispatch bbtentry.Dispatch
	err      *bbtverdict.Error
}

// Submit submits a request to the entry role.
func (e *Edge) Submit(s bbtentry.Submission) *Request {
	r := &Request{edge: e, submission: s, replies: make(chan reply, 1)}
	e.post(requestSubmitted{r})
	return r
}

// Next waits for the next dispatch. The error is a *bbtverdict.Error whose verdict
// does not cover earlier dispatches; after an error the request has ended. With a
// refusal, the Dispatch holds only the owner's Decision, if there is one.
func (r *Request) Next(ctx context.Context) (bbtentry.Dispatch, error) {
	select {
	case reply := <-r.replies:
		if reply.err != nil {
			return reply.dispatch, reply.err
		}
		return reply.dispatch, nil
	case <-ctx.Done():
		r.edge.post(requestCancelled{r})
		return bbtentry.Dispatch{}, bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonCancelled)
	case <-r.edge.ctx.Done():
		return bbtentry.Dispatch{}, bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonDraining)
	}
}

// ResponseStarted reports that the first event of the response has arrived, with the
// limit that the endpoint states in it.
func (r *Request) ResponseStarted(l bbtschedule.StatedLimit) { r.edge.post(started{r, l}) }

// EndpointDraining reports that the endpoint of a dispatch has said in its answer that
// it is draining.
func (r *Request) EndpointDraining(d bbtentry.Dispatch) { r.edge.post(endpointDraining{d}) }

// EndpointPaused reports that the endpoint of a dispatch has said in its answer that it
// wants no requests from this host for a period.
func (r *Request) EndpointPaused(d bbtentry.Dispatch, period time.Duration) {
	r.edge.post(endpointPaused{d, period})
}

// DispatchEnded reports the end of a dispatch. If retry is true, Next returns the
// next dispatch or a refusal.
func (r *Request) DispatchEnded(d bbtschedule.Done, retry bool) { r.edge.post(ended{r, d, retry}) }
