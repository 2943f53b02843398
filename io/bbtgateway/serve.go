package bbtgateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"bluebelltray"
	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtentry"
	"bluebelltray/core/bbtschedule"
	"bluebelltray/core/bbtverdict"
	"github.com/cockroachdb/errors"
)

// defaultRetryAfter is returned with a refusal of a request that has not run,
// if the scheduler states no retry time.
const defaultRetryAfter = 200 * time.Millisecond

// errStreamTruncated reports an event stream that ended too early or has an
// event larger than maxEventBytes.
var errStreamTruncated = errors.New("event stream truncated or event too large")

// serve dispatches the request to endpoints that the scheduler selects until
// one responds or no further dispatch is allowed.
func (x *exchange) serve() {
	x.position = newPosition(x.head.LastEventID)
	x.request = x.gateway.edge.Submit(x.submission())
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	defer x.endOnStop(cancel)()
	for {
		d, err := x.request.Next(ctx)
		x.decision = d.Decision
		if err != nil {
			x.dropRelocated()
			x.schedulingFailed(err)
			return
		}
		if !x.dispatch(ctx, d) {
			return
		}
	}
}

// schedulingFailed responds to a request for which the scheduler grants no
// further dispatch, with the latest error response of an endpoint if there is
// one.
func (x *exchange) schedulingFailed(err error) {
	e := bbtverdict.FromError(err, bbtverdict.ReasonOverloaded)
	if e.Reason() == bbtverdict.ReasonCancelled && x.r.Context().Err() == nil {
		e = bbtverdict.New(bbtverdict.NotRun, x.endReason())
	}
	switch {
	case x.possibleRuns > 0:
		e = bbtverdict.New(bbtverdict.MayHaveRun, e.Reason())
	case e.RetryAfter() == 0 && e.Reason() != bbtverdict.ReasonCrashesEndpoints:
		e = bbtverdict.New(e.Verdict(), e.Reason(), bbtverdict.WithRetryAfter(defaultRetryAfter))
	}
	if x.r.Context().Err() != nil {
		x.callerGone()
	}
	if f := x.fallback; f != nil && !x.headerSent {
		x.reason = string(e.Reason())
		x.sendHeader(f.status, f.header)
		_, _ = x.w.Write(f.body) // the caller may have disconnected
		return
	}
	x.refuse(e)
}

// dispatch sends the request to one endpoint and forwards the response. It
// reports whether to ask the scheduler for another dispatch.
func (x *exchange) dispatch(ctx context.Context, d bbtentry.Dispatch) bool {
	x.dispatchedAt = time.Now()
	rt := x.takeRelocated(d)
	started := rt != nil
	if !started {
		rt = x.newRoundTrip(ctx, d, x.position.lastID, x.transport(d.Address))
	}
	defer rt.cancel()
	a := rt.attempt
	a.watchdog = x.startWatchdog(ctx, d.Attempt, rt.cancel)
	defer a.watchdog.stop()
	if !started {
		rt.run()
	}
	<-rt.done
	if rt.err != nil {
		return a.roundTripFailed(ctx, rt.err)
	}
	defer rt.resp.Body.Close()
	return a.forward(ctx, rt.resp)
}

// transport returns the transport for a dispatch to addr. Only requests that may be
// repeated use one that reuses connections, and only if they have an ID, by which
// a late response to an earlier request is told from their own. No ID tells it from a
// late response to an earlier dispatch of the same request to that address.
func (x *exchange) transport(addr string) http.RoundTripper {
	again := slices.Contains(x.addrs, addr)
	x.addrs = append(x.addrs, addr)
	if x.route.Retryable() && x.head.ID != "" && !again {
		return x.gateway.keepAlive
	}
	return x.gateway.singleUse
}

// newRequest returns the request to send to an endpoint, which resumes the stream after
// the event with the given ID; empty if it does not.
func (x *exchange) newRequest(ctx context.Context, d bbtentry.Dispatch, lastEventID string) *http.Request {
	h := x.r.Header.Clone()
	removeHopByHopHeaders(h)
	x.gateway.dialect.Forward(h, bluebelltray.ForwardInfo{
		Endpoint:      bbtcatalog.Endpoint{ID: d.Endpoint, Address: d.Address},
		Account:       x.accountName(),
		RemainingTime: time.Until(x.deadline),
		LastEventID:   lastEventID,
	})
	if _, ok := h["User-Agent"]; !ok {
		h.Set("User-Agent", "") // keeps net/http from adding its default
	}
	req := &http.Request{
		Method:        x.r.Method,
		URL:           endpointURL(d.Address, x.r.RequestURI),
		Host:          x.r.Host,
		Header:        h,
		ContentLength: int64(len(x.body)),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if len(x.body) > 0 || x.r.ContentLength != 0 {
		req.Body = io.NopCloser(bytes.NewReader(x.body))
	}
	return req.WithContext(ctx)
}

// accountName returns the name of the request's client account, or an empty
// string if there is none.
func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// refuse responds with an error of the gateway itself.
func (x *exchange) refuse(err error) {
	e := bbtverdict.FromError(err, bbtverdict.ReasonOverloaded)
	x.reason, x.retryAfter = string(e.Reason()), e.RetryAfter()
	x.gateway.counters.Refused(e)
	if x.headerSent {
		x.breakOff(e.Reason())
	}
	x.status = statusOf(e)
	x.gateway.dialect.WriteRefusal(x.w.Header(), e)
	x.w.Header().Set("Content-Length", "0")
	x.w.WriteHeader(x.status)
}

// statusOf returns the HTTP status of a refusal. Statuses 502 and 504 mean that
// an endpoint may have run the request; all others mean that none has.
func statusOf(e *bbtverdict.Error) int {
	if e.Verdict() != bbtverdict.NotRun {
		if e.Reason() == bbtverdict.ReasonTimeout {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch e.Reason() {
	case bbtverdict.ReasonBadRequest:
		return http.StatusBadRequest
	case bbtverdict.ReasonUnknownRoute:
		return http.StatusNotFound
	case bbtverdict.ReasonUnknownKey:
		return http.StatusUnauthorized
	case bbtverdict.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case bbtverdict.ReasonHeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case bbtverdict.ReasonTokenRate, bbtverdict.ReasonRequestRate:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// removeHopByHopHeaders removes the hop-by-hop headers and those that the
// Connection header lists.
func removeHopByHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range splitList(line) {
			h.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}

// failureOutcome returns the outcome of a dispatch without a complete response.
func (a *attempt) failureOutcome(ctx context.Context) bbtschedule.Outcome {
	switch {
	case ctx.Err() != nil && !a.connTrace.connected.Load():
		return bbtschedule.Unused
	case ctx.Err() != nil:
		return bbtschedule.Cancelled
	case !a.connTrace.connected.Load():
		return bbtschedule.Unreachable
	case a.watchdog.hasExpired():
		return bbtschedule.IdleTimeout
	default:
		return bbtschedule.ConnectionLost
	}
}
