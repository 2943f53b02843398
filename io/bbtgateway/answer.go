package bbtgateway

import (
	"context"
	"io"
	"iter"
	"net/http"
	"strings"
	"syscall"
	"time"

	"bluebelltray"
	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtentry"
	"bluebelltray/core/bbtschedule"
	"bluebelltray/core/bbtverdict"
	"github.com/cockroachdb/errors"
)

const (
	// maxBufferedBytes is the size up to which a response is buffered before it is
	// forwarded, so that a request with a truncated response can be repeated. Event
	// streams are never buffered.
	maxBufferedBytes = 256 << 10
	// maxUnsizedBytes is the size of a response without Content-Length above which
	// it is taken for one without end.
	maxUnsizedBytes = 64 << 20
)

// errEndless reports a response without Content-Length that exceeds
// maxUnsizedBytes.
var errEndless = errors.Newf("response without length exceeds %d bytes", maxUnsizedBytes)

// attempt is one dispatch of a request to an endpoint, with its response.
type attempt struct {
	exchange     *exchange
	dispatch     bbtentry.Dispatch
	responseHead bluebelltray.ResponseHead
	watchdog     *watchdog
	connTrace    connTrace
	events       int                     // received
	continued    bool                    // the events continue those of an earlier dispatch
	first        time.Time               // of the first event
	last         time.Time               // of the last event
	limit        bbtschedule.StatedLimit // of the response, until it is reported
}

// finish reports the outcome to the scheduler and asks it for another dispatch
// if retry is true. It returns retry.
func (a *attempt) finish(outcome bbtschedule.Outcome, retry bool) bool {
	x := a.exchange
	x.relocationsEnded(a.watchdog.finish())
	x.recordOutcome(a.dispatch, outcome)
	d := bbtschedule.Done{Outcome: outcome, Events: a.events, Limit: a.takeLimit()}
	if a.events > 1 {
		d.Span = a.last.Sub(a.first)
	}
	if retry {
		x.gateway.counters.Add("dispatches-repeated-"+outcome.String(), 1)
	}
	x.request.DispatchEnded(d, retry)
	if !retry {
		x.dropRelocated()
	}
	return retry
}

// recordOutcome records the outcome of a dispatch.
func (x *exchange) recordOutcome(d bbtentry.Dispatch, outcome bbtschedule.Outcome) {
	x.dispatchLog = append(x.dispatchLog, d.Endpoint+" "+outcome.String())
	if outcome.MayHaveRun() {
		x.possibleRuns++
	}
}

// roundTripFailed ends a dispatch that got no response header.
func (a *attempt) roundTripFailed(ctx context.Context, err error) bool {
	x := a.exchange
	outcome := a.roundTripOutcome(ctx, err)
	retry := outcome == bbtschedule.Unreachable || outcome != bbtschedule.Cancelled && outcome != bbtschedule.Unused && x.route.Retryable()
	if a.finish(outcome, retry) {
		return true
	}
	x.dispatchFailed(ctx, bbtverdict.ReasonEndpointLost, err)
	return false
}

// roundTripOutcome returns the outcome of a dispatch that got no response header.
func (a *attempt) roundTripOutcome(ctx context.Context, err error) bbtschedule.Outcome {
	outcome := a.failureOutcome(ctx)
	if outcome == bbtschedule.ConnectionLost && a.connTrace.received.Load() && !isConnectionEnd(err) {
		return bbtschedule.Failed // bytes that are no response, from an endpoint that has not crashed
	}
	return outcome
}

// isConnectionEnd reports whether an error of the transport is the end of a connection.
func isConnectionEnd(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}

// dispatchFailed responds to a request that gets no further dispatch after a
// failed one.
func (x *exchange) dispatchFailed(ctx context.Context, reason bbtverdict.Reason, err error) {
	if x.r.Context().Err() != nil {
		x.callerGone()
	}
	if ctx.Err() != nil {
		reason = x.endReason()
	}
	verdict := bbtverdict.NotRun
	if x.possibleRuns > 0 {
		verdict = bbtverdict.MayHaveRun
	}
	x.refuse(bbtverdict.New(verdict, reason, bbtverdict.WithCause(err)))
}

// forward forwards the response to the caller, or asks for another dispatch if
// the request is to be repeated.
func (a *attempt) forward(ctx context.Context, resp *http.Response) bool {
	x := a.exchange
	switch {
	case a.responseHead.NotRun && !a.isForeign() && resp.StatusCode == http.StatusMisdirectedRequest:
		return a.finish(bbtschedule.Misdirected, true)
	case a.responseHead.NotRun && !a.isForeign():
		return a.finish(bbtschedule.Rejected, true)
	case x.headerSent && resp.StatusCode != http.StatusOK:
		return a.finish(bbtschedule.Failed, true)
	case a.isMismatched(resp):
		a.connTrace.closeConn()
		if a.finish(bbtschedule.Failed, x.route.Retryable()) {
			return true
		}
		x.dispatchFailed(ctx, bbtverdict.ReasonResponseMismatch, errors.New("response does not match the request"))
		return false
	case resp.StatusCode >= http.StatusInternalServerError && x.route.Retryable() && !x.isLastAttempt() && resp.ContentLength <= maxBufferedBytes:
		return a.keepErrorResponse(ctx, resp)
	case x.route.Kind == bbtcatalog.Streaming && resp.StatusCode == http.StatusOK:
		return a.forwardStream(ctx, resp)
	default:
		if resp.ContentLength > maxBufferedBytes { // takes its time, though its endpoint is not silent
			a.watchdog.stop()
		}
		return a.forwardBuffered(ctx, resp)
	}
}

// keepErrorResponse asks for another dispatch and keeps the error response as the
// fallback that the caller gets if no dispatch is granted, unless its body proves to be
// longer than maxBufferedBytes.
func (a *attempt) keepErrorResponse(ctx context.Context, resp *http.Response) bool {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes+1))
	if err != nil {
		return a.incomplete(ctx, err)
	}
	if len(body) <= maxBufferedBytes {
		a.exchange.fallback = &errorResponse{status: resp.StatusCode, header: resp.Header, body: body}
	}
	return a.finish(bbtschedule.Failed, true)
}

// errorResponse is an endpoint's response with a server error status.
type errorResponse struct {
	status int
	header http.Header
	body   []byte
}

// isLastAttempt reports whether the current dispatch uses up the route's
// attempts. The endpoint's error response is then returned to the caller and no
// watchdog runs. Only dispatches whose endpoint may have run the request count,
// whereas bbtentry.Entry also counts rejected ones.
func (x *exchange) isLastAttempt() bool { return x.possibleRuns+1 >= x.route.MaxAttempts }

// forwardBuffered reads the complete response before forwarding it, or the first
// maxBufferedBytes of a longer one. So net/http has sent bytes of every response that
// breaks off, and the others are told to the caller or dispatched again.
func (a *attempt) forwardBuffered(ctx context.Context, resp *http.Response) bool {
	x := a.exchange
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes+1))
	if err != nil {
		return a.incomplete(ctx, err)
	}
	if len(body) > maxBufferedBytes {
		return a.forwardUnbuffered(ctx, resp, body)
	}
	if resp.StatusCode < http.StatusInternalServerError {
		a.finish(bbtschedule.Finished, false)
	} else {
		a.finish(bbtschedule.Failed, false)
	}
	x.takeMemory(len(body)) // an answer is sent in any case
	x.sendHeader(resp.StatusCode, resp.Header)
	_, _ = x.w.Write(body) // the caller may have disconnected
	return false
}

// incomplete ends a dispatch whose response was truncated before any of it was
// forwarded.
func (a *attempt) incomplete(ctx context.Context, err error) bool {
	outcome := a.failureOutcome(ctx)
	if a.finish(outcome, outcome != bbtschedule.Cancelled && a.exchange.route.Retryable()) {
		return true
	}
	a.exchange.dispatchFailed(ctx, bbtverdict.ReasonResponseIncomplete, err)
	return false
}

// forwardUnbuffered copies a long response to the caller as it arrives. prefix is
// the part that has been read already.
func (a *attempt) forwardUnbuffered(ctx context.Context, resp *http.Response, prefix []byte) bool {
	x := a.exchange
	a.watchdog.stop()
	x.sendHeader(resp.StatusCode, resp.Header)
	if _, err := x.w.Write(prefix); err != nil {
		a.abort(ctx)
	}
	body := io.Reader(resp.Body)
	if resp.ContentLength < 0 {
		body = io.MultiReader(io.LimitReader(body, int64(maxUnsizedBytes-len(prefix))), &endlessDetector{resp.Body})
	}
	if _, err := io.Copy(x.w, body); err != nil {
		a.abort(ctx)
	}
	return a.finish(bbtschedule.Finished, false)
}

// endlessDetector is read where the longest allowed response has to end. It fails
// with errEndless if the response goes on.
type endlessDetector struct{ body io.Reader }

// Read returns io.EOF if the body has ended.
func (d *endlessDetector) Read([]byte) (int, error) {
	var next [1]byte
	if n, err := d.body.Read(next[:]); n == 0 {
		return 0, err
	}
	return 0, errEndless
}

// sendHeader sends the response header to the caller.
func (x *exchange) sendHeader(status int, header http.Header) {
	h := x.w.Header()
	closing := h.Get("Connection")
	for name, values := range header {
		h[name] = values
	}
	removeHopByHopHeaders(h)
	if closing != "" {
		h.Set("Connection", closing)
	}
	x.headerSent = true
	x.answering.Store(true)
	x.status = status
	x.firstByteAt = time.Now()
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
