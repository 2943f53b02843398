package bbtedge

import (
	"context"

	"bluebelltray/core/bbtentry"
	"bluebelltray/core/bbtschedule"
	"bluebelltray/core/bbtverdict"
)

// Request is one request on its way through the scheduler. Its methods are for
// the one goroutine that serves the caller.
type Request struct {
	edge       *Edge
	submission bbtentry.Submission
	id         bbtschedule.RequestID
	replies    chan reply
}

// reply is what the scheduler decided: a dispatch, or a refusal.
type reply struct {
	dispatch bbtentry.Dispatch
	err      *bbtverdict.Error
}

// Submit takes a request on.
func (e *Edge) Submit(s bbtentry.Submission) *Request {
	r := &Request{edge: e, submission: s, replies: make(chan reply, 1)}
	e.post(requestSubmitted{r})
	return r
}

// Next waits for the next dispatch. The error is a *bbtverdict.Error with the
// verdict for this dispatch alone; after it the flight has ended.
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

// ResponseStarted records that the first event of the answer has arrived.
func (r *Request) ResponseStarted() { r.edge.post(started{r}) }

// DispatchEnded records the end of a dispatch. If again holds, Next tells what follows.
func (r *Request) DispatchEnded(d bbtschedule.Done, retry bool) { r.edge.post(ended{r, d, retry}) }
