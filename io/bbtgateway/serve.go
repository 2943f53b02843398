package bbtgateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"bluebelltray"
	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtentry"
	"bluebelltray/core/bbtschedule"
	"bluebelltray/core/bbtverdict"
	"github.com/cockroachdb/errors"
)

// notRunReturn is when a caller comes again whose request has not run, if the
// scheduler names no time.
const notRunReturn = 200 * time.Millisecond

// errBrokenOff says that an endpoint ended its answer too early.
var errBrokenOff = errors.New("answer broken off")

// serve sends the request where the scheduler says until it is answered.
func (x *exchange) serve() {
	x.flight = x.gateway.edge.Submit(x.submission())
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	for {
		d, err := x.flight.Next(ctx)
		x.grounds = d.Decision
		if err != nil {
			x.end(err)
			return
		}
		if !x.dispatch(ctx, d) {
			return
		}
	}
}

// end answers a request that gets no further dispatch.
func (x *exchange) end(err error) {
	e := bbtverdict.FromError(err, bbtverdict.ReasonOverloaded)
	if e.Reason() == bbtverdict.ReasonCancelled && x.r.Context().Err() == nil {
		e = bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonTimeout)
	}
	switch {
	case x.offers > 0:
		e = bbtverdict.New(bbtverdict.MayHaveRun, e.Reason())
	case e.RetryAfter() == 0 && e.Reason() != bbtverdict.ReasonCrashesEndpoints:
		e = bbtverdict.New(e.Verdict(), e.Reason(), bbtverdict.WithRetryAfter(notRunReturn))
	}
	if x.r.Context().Err() != nil {
		x.reason = string(bbtverdict.ReasonCancelled)
		panic(http.ErrAbortHandler)
	}
	if f := x.failed; f != nil && !x.answered {
		x.reason = string(e.Reason())
		x.writeHead(f.status, f.header)
		_, _ = x.w.Write(f.body) // a caller that has gone needs no answer
		return
	}
	x.refuse(e)
}

// dispatch sends the request to one endpoint and passes the answer on. It
// reports whether the scheduler is to be asked for another dispatch.
func (x *exchange) dispatch(ctx context.Context, d bbtentry.Dispatch) bool {
	x.granted = time.Now()
	dctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := &answer{exchange: x, dispatch: d, silence: x.watch(cancel)}
	defer a.silence.stop()
	resp, err := x.transport().RoundTrip(x.request(a.link.trace(dctx), d))
	if err != nil {
		return a.lost(ctx, err)
	}
	defer resp.Body.Close()
	a.reply = x.gateway.dialect.ParseResponse(resp)
	return a.pass(ctx, resp)
}

// transport returns what carries the request to endpoints.
func (x *exchange) transport() *http.Transport {
	if x.route.Retryable() {
		return x.gateway.kept
	}
	return x.gateway.once
}

// request returns the request for an endpoint.
func (x *exchange) request(ctx context.Context, d bbtentry.Dispatch) *http.Request {
	h := x.r.Header.Clone()
	dropHopHeaders(h)
	x.gateway.dialect.Forward(h, bluebelltray.ForwardInfo{
		Endpoint:      bbtcatalog.Endpoint{ID: d.Endpoint, Address: d.Address},
		Account:       x.accountName(),
		RemainingTime: time.Until(x.deadline),
		LastEventID:   x.lastID,
	})
	if _, ok := h["User-Agent"]; !ok {
		h.Set("User-Agent", "") // keeps the library from sending its own
	}
	req := &http.Request{
		Method:        x.r.Method,
		URL:           &url.URL{Scheme: "http", Host: d.Address, Opaque: x.r.RequestURI},
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

// accountName returns the name of the request's client account, if it has one.
func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// refuse answers with a refusal of the system's own.
func (x *exchange) refuse(err error) {
	e := bbtverdict.FromError(err, bbtverdict.ReasonOverloaded)
	x.reason, x.retry = string(e.Reason()), e.RetryAfter()
	x.gateway.counters.Refused(e)
	if x.answered {
		panic(http.ErrAbortHandler) // the caller sees that the answer is not whole
	}
	x.status = statusOf(e)
	x.gateway.dialect.WriteRefusal(x.w.Header(), e)
	x.w.Header().Set("Content-Length", "0")
	x.w.WriteHeader(x.status)
}

// statusOf returns the HTTP status of a refusal. Only those that promise that
// the request has not run say so.
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

// hopHeaders concern one connection alone.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// dropHopHeaders removes the headers that concern one connection alone, and
// those that Connection names.
func dropHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range splitList(line) {
			h.Del(name)
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

// outcomeOf returns the outcome of a dispatch whose answer is not whole.
func (a *answer) outcomeOf(ctx context.Context) bbtschedule.Outcome {
	switch {
	case ctx.Err() != nil && !a.link.open.Load():
		return bbtschedule.Unused
	case ctx.Err() != nil:
		return bbtschedule.Cancelled
	case !a.link.open.Load():
		return bbtschedule.Unreachable
	case a.silence.broke():
		return bbtschedule.Silent
	default:
		return bbtschedule.Broken
	}
}
