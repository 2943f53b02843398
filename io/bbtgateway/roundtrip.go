package bbtgateway

import (
	"context"
	"net/http"
	"sync"

	"bluebelltray/core/bbtentry"
	"bluebelltray/core/bbtschedule"
)

// roundTrip is a dispatch until the head of its response arrives.
type roundTrip struct {
	attempt   *attempt
	lastID    string // of the event after which the stream is resumed; empty if it is not
	request   *http.Request
	transport http.RoundTripper
	ctx       context.Context
	cancel    context.CancelFunc
	connected chan struct{} // closed when the endpoint is connected
	done      chan struct{} // closed when resp or err is set
	resp      *http.Response
	err       error
}

// newRoundTrip returns a dispatch that is to be started by run.
func (x *exchange) newRoundTrip(ctx context.Context, d bbtentry.Dispatch, lastID string, transport http.RoundTripper) *roundTrip {
	ctx, cancel := context.WithCancel(ctx)
	rt := &roundTrip{attempt: &attempt{exchange: x, dispatch: d}, lastID: lastID, transport: transport, ctx: ctx, cancel: cancel,
		connected: make(chan struct{}), done: make(chan struct{})}
	rt.attempt.connTrace.onConn = sync.OnceFunc(func() { close(rt.connected) })
	rt.request = x.newRequest(rt.attempt.connTrace.withTrace(ctx), d, lastID)
	return rt
}

// run sends the request and waits for the head of the response.
func (rt *roundTrip) run() {
	defer close(rt.done)
	rt.resp, rt.err = rt.transport.RoundTrip(rt.request)
	if rt.err == nil {
		if isUnframed(rt.resp) {
			rt.resp.Body = &unframedBody{rt.resp.Body, rt.ctx, &rt.attempt.connTrace}
		}
		rt.attempt.readHead(rt.resp)
	}
}

// isRefused reports whether the endpoint has not taken the request, once done is closed,
// and the outcome. A stream that goes on needs a response that continues it.
func (rt *roundTrip) isRefused(goesOn bool) (bbtschedule.Outcome, bool) {
	a := rt.attempt
	switch {
	case rt.err != nil:
		return a.roundTripOutcome(rt.ctx, rt.err), true
	case a.responseHead.NotRun && !a.isForeign() && rt.resp.StatusCode == http.StatusMisdirectedRequest:
		return bbtschedule.Misdirected, true
	case a.responseHead.NotRun && !a.isForeign():
		return bbtschedule.Rejected, true
	case a.isMismatched(rt.resp), rt.resp.StatusCode >= http.StatusInternalServerError, goesOn && rt.resp.StatusCode != http.StatusOK:
		return bbtschedule.Failed, true
	default:
		return bbtschedule.Finished, false
	}
}

// discard ends the dispatch without its response.
func (rt *roundTrip) discard() {
	rt.cancel()
	<-rt.done
	if rt.resp != nil {
		rt.resp.Body.Close()
		rt.attempt.connTrace.closeConn()
	}
}
