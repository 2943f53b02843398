package bbtgateway

import (
	"context"
	"net/http"

	"bluebelltray/core/bbtschedule"
	"bluebelltray/core/bbtverdict"
)

// abort ends the dispatch of a partly forwarded response, and the response.
func (a *attempt) abort(ctx context.Context) {
	x := a.exchange
	outcome, reason := bbtschedule.ConnectionLost, bbtverdict.ReasonResponseIncomplete
	switch {
	case x.r.Context().Err() != nil:
		outcome, reason = bbtschedule.Cancelled, bbtverdict.ReasonCancelled
	case ctx.Err() != nil:
		outcome, reason = bbtschedule.Cancelled, x.endReason()
	}
	a.finish(outcome, false)
	x.breakOff(reason)
}

// breakOff ends a response of which the caller has a part. It panics, which closes the
// connection, so that the caller detects the truncation.
func (x *exchange) breakOff(reason bbtverdict.Reason) {
	x.reason = string(reason)
	x.gateway.counters.Add("answers-broken-off-"+x.reason, 1)
	panic(http.ErrAbortHandler)
}

// callerGone ends a request whose caller has left. It panics.
func (x *exchange) callerGone() {
	if x.headerSent {
		x.breakOff(bbtverdict.ReasonCancelled)
	}
	x.reason = string(bbtverdict.ReasonCancelled)
	panic(http.ErrAbortHandler)
}
