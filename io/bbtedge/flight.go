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
	next       chan step
}

// step is what the scheduler decided: a dispatch, or a refusal.
type step struct {
	dispatch bbtentry.Dispatch
	err      *bbtverdict.Error
}

// Submit takes a request on.
func (e *Edge) Submit(s bbtentry.Submission) *Request {
	f := &Request{edge: e, submission: s, next: make(chan step, 1)}
	e.post(submitted{f})
	return f
}

// Next waits for the next dispatch. The error is a *bbtverdict.Error with the
// verdict for this dispatch alone; after it the flight has ended.
func (f *Request) Next(ctx context.Context) (bbtentry.Dispatch, error) {
	select {
	case s := <-f.next:
		if s.err != nil {
			return s.dispatch, s.err
		}
		return s.dispatch, nil
	case <-ctx.Done():
		f.edge.post(cancelled{f})
		return bbtentry.Dispatch{}, bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonCancelled)
	case <-f.edge.ctx.Done():
		return bbtentry.Dispatch{}, bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonDraining)
	}
}

// ResponseStarted records that the first event of the answer has arrived.
func (f *Request) ResponseStarted() { f.edge.post(began{f}) }

// DispatchEnded records the end of a dispatch. If again holds, Next tells what follows.
func (f *Request) DispatchEnded(d bbtschedule.Done, again bool) { f.edge.post(ended{f, d, again}) }
