package bbtgateway

import (
	"net/http"

	"bluebelltray/core/bbtschedule"
	"bluebelltray/core/bbtverdict"
)

// takeLimit returns the limit that the response states, at the first call.
func (a *attempt) takeLimit() bbtschedule.StatedLimit {
	l := a.limit
	a.limit = bbtschedule.StatedLimit{}
	return l
}

// readHead parses the head of the response and reports what the endpoint says of itself.
// The head of a response to another request, or of another server, tells nothing of the
// endpoint.
func (a *attempt) readHead(resp *http.Response) {
	a.responseHead = a.exchange.gateway.dialect.ParseResponse(resp)
	if resp.StatusCode == http.StatusMisdirectedRequest || a.isForeign() {
		return
	}
	a.countIgnored()
	if a.responseHead.Draining {
		a.exchange.request.EndpointDraining(a.dispatch)
	}
	if a.responseHead.Pause > 0 {
		a.exchange.request.EndpointPaused(a.dispatch, a.responseHead.Pause)
	}
	if resp.StatusCode == http.StatusServiceUnavailable && len(resp.Header["Retry-After"]) > 0 {
		// It speaks to this host. The caller is told this host's own estimate.
		resp.Header.Del("Retry-After")
		a.exchange.gateway.dialect.WriteRefusal(resp.Header,
			bbtverdict.New(bbtverdict.MayHaveRun, bbtverdict.ReasonEndpointRefused, bbtverdict.WithRetryAfter(defaultRetryAfter)))
	}
	a.limit = bbtschedule.StatedLimit{Answered: true, Limited: a.responseHead.Limited, PerSecond: a.responseHead.PerSecond}
}
