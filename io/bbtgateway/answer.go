package bbtgateway

import (
	"context"
	"io"
	"iter"
	"net/http"
	"strings"
	"time"

	"bluebelltray"
	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtentry"
	"bluebelltray/core/bbtschedule"
	"bluebelltray/core/bbtverdict"
	"github.com/cockroachdb/errors"
)

// wholeAnswer is the size in bytes up to which a plain answer is read whole
// before it is passed on, so that one that breaks off may be repeated.
const wholeAnswer = 256 << 10

// answer is an endpoint's answer to one dispatch.
type answer struct {
	exchange *exchange
	dispatch bbtentry.Dispatch
	reply    bluebelltray.ResponseHead
	silence  *silence
	link     link
	events   int
	first    time.Time // of the first event
	last     time.Time // of the last one
}

// done ends the dispatch and reports whether another one is to follow.
func (a *answer) done(outcome bbtschedule.Outcome, again bool) bool {
	x := a.exchange
	x.story = append(x.story, a.dispatch.Endpoint+" "+outcome.String())
	if mayHaveRun(outcome) {
		x.offers++
	}
	d := bbtschedule.Done{Outcome: outcome, Events: a.events}
	if a.events > 1 {
		d.Span = a.last.Sub(a.first)
	}
	if again {
		x.gateway.counters.Add("dispatches-repeated-"+outcome.String(), 1)
	}
	x.flight.Ended(d, again)
	return again
}

// mayHaveRun reports whether a dispatch's endpoint may have run the request.
func mayHaveRun(o bbtschedule.Outcome) bool {
	return o != bbtschedule.Unreachable && o != bbtschedule.Rejected && o != bbtschedule.Unused
}

// lost ends a dispatch without the head of an answer.
func (a *answer) lost(ctx context.Context, err error) bool {
	x := a.exchange
	outcome := a.outcomeOf(ctx)
	again := outcome == bbtschedule.Unreachable || outcome != bbtschedule.Cancelled && outcome != bbtschedule.Unused && x.route.Retryable()
	if a.done(outcome, again) {
		return true
	}
	x.giveUp(ctx, bbtverdict.ReasonEndpointLost, err)
	return false
}

// giveUp answers a request that gets no other dispatch.
func (x *exchange) giveUp(ctx context.Context, reason bbtverdict.Reason, err error) {
	if x.r.Context().Err() != nil {
		x.reason = string(bbtverdict.ReasonCancelled)
		panic(http.ErrAbortHandler)
	}
	if ctx.Err() != nil {
		reason = bbtverdict.ReasonTimeout
	}
	verdict := bbtverdict.NotRun
	if x.offers > 0 {
		verdict = bbtverdict.MayHaveRun
	}
	x.refuse(bbtverdict.New(verdict, reason, bbtverdict.WithCause(err)))
}

// pass passes an answer on.
func (a *answer) pass(ctx context.Context, resp *http.Response) bool {
	x := a.exchange
	switch {
	case a.reply.NotRun:
		return a.done(bbtschedule.Rejected, true)
	case x.answered && resp.StatusCode != http.StatusOK:
		return a.done(bbtschedule.Failed, true)
	case a.foreign(resp):
		if a.done(bbtschedule.Failed, x.route.Retryable()) {
			return true
		}
		x.giveUp(ctx, bbtverdict.ReasonResponseMismatch, errors.New("answer of another request"))
		return false
	case resp.StatusCode >= http.StatusInternalServerError && x.route.Retryable() && !x.repeated() && resp.ContentLength <= wholeAnswer:
		return a.failure(ctx, resp)
	case x.route.Kind == bbtcatalog.Streaming && resp.StatusCode == http.StatusOK:
		return a.stream(ctx, resp)
	case resp.ContentLength > wholeAnswer:
		return a.copy(ctx, resp)
	default:
		return a.whole(ctx, resp)
	}
}

// failure ends a dispatch whose endpoint answered with a failure. That is the
// answer if the request gets no other dispatch.
func (a *answer) failure(ctx context.Context, resp *http.Response) bool {
	body, err := io.ReadAll(io.LimitReader(resp.Body, wholeAnswer))
	if err != nil {
		return a.cut(ctx, err)
	}
	a.exchange.failed = &failure{status: resp.StatusCode, header: resp.Header, body: body}
	return a.done(bbtschedule.Failed, true)
}

// failure is an endpoint's own answer that says that it failed.
type failure struct {
	status int
	header http.Header
	body   []byte
}

// repeated reports whether the request has used its attempts, so that the
// endpoint's own failure is the answer.
func (x *exchange) repeated() bool { return x.offers+1 >= x.route.MaxAttempts }

// foreign reports whether an answer cannot be the endpoint's own to this
// request.
func (a *answer) foreign(resp *http.Response) bool {
	named := a.reply.RequestID != "" || a.link.reused.Load() // a late answer may come over a kept connection
	if id := a.exchange.head.ID; id != "" && named && a.reply.RequestID != id {
		return true
	}
	if resp.Header.Get("Content-Encoding") != "" {
		return true
	}
	return resp.StatusCode < http.StatusMultipleChoices && !a.reply.Sealed
}

// whole reads a short answer to its end before it passes it on.
func (a *answer) whole(ctx context.Context, resp *http.Response) bool {
	x := a.exchange
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return a.cut(ctx, err)
	}
	if resp.StatusCode < http.StatusInternalServerError {
		a.done(bbtschedule.Finished, false)
	} else {
		a.done(bbtschedule.Failed, false)
	}
	x.writeHead(resp.StatusCode, resp.Header)
	_, _ = x.w.Write(body) // a caller that has gone needs no answer
	return false
}

// cut ends a dispatch whose answer broke off before any of it was passed on.
func (a *answer) cut(ctx context.Context, err error) bool {
	outcome := a.outcomeOf(ctx)
	if a.done(outcome, outcome != bbtschedule.Cancelled && a.exchange.route.Retryable()) {
		return true
	}
	a.exchange.giveUp(ctx, bbtverdict.ReasonResponseIncomplete, err)
	return false
}

// copy passes a long answer on as it comes.
func (a *answer) copy(ctx context.Context, resp *http.Response) bool {
	x := a.exchange
	a.silence.stop()
	x.writeHead(resp.StatusCode, resp.Header)
	if _, err := io.Copy(x.w, resp.Body); err != nil {
		a.broken(ctx)
	}
	return a.done(bbtschedule.Finished, false)
}

// broken ends an answer that the caller has a part of.
func (a *answer) broken(ctx context.Context) {
	x := a.exchange
	outcome := bbtschedule.Broken
	if ctx.Err() != nil {
		outcome = bbtschedule.Cancelled
	}
	a.done(outcome, false)
	x.reason = string(bbtverdict.ReasonResponseIncomplete)
	x.gateway.counters.Add("answers-broken-off", 1)
	panic(http.ErrAbortHandler)
}

// writeHead sends the head of an answer to the caller.
func (x *exchange) writeHead(status int, header http.Header) {
	h := x.w.Header()
	closing := h.Get("Connection")
	for name, values := range header {
		h[name] = values
	}
	dropHopHeaders(h)
	if closing != "" {
		h.Set("Connection", closing)
	}
	x.answered = true
	x.status = status
	x.first = time.Now()
	x.w.WriteHeader(status)
}

// splitList returns the elements of a comma-separated header value.
func splitList(text string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for part := range strings.SplitSeq(text, ",") {
			if part = strings.TrimSpace(part); part != "" && !yield(part) {
				return
			}
		}
	}
}
