package bbtgateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"bluebelltray/core/bbtschedule"
	"github.com/cockroachdb/errors"
)

// Buffer sizes of event streams.
const (
	initialStreamBytes = 4 << 10
	maxEventBytes      = 1 << 20
)

// forwardStream forwards each event when it is complete. An interrupted stream
// continues on another endpoint if the route is resumable. An endpoint that sends
// something else instead, or nothing, has failed.
func (a *attempt) forwardStream(ctx context.Context, resp *http.Response) bool {
	buf := make([]byte, 0, initialStreamBytes)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := resp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if end := completeEventsLen(buf); end > 0 {
			if !a.continues(buf[:end]) {
				return a.finish(bbtschedule.Failed, true)
			}
			a.forwardEvents(resp, buf[:end])
			buf = buf[:copy(buf, buf[end:])]
		}
		switch {
		case err == nil && len(buf) < maxEventBytes:
		case errors.Is(err, io.EOF) && len(buf) == 0 && a.isResumed() && !a.continued:
			return a.finish(bbtschedule.Failed, true)
		case errors.Is(err, io.EOF) && len(buf) == 0 && a.events > 0:
			return a.finish(bbtschedule.Finished, false)
		default:
			return a.interrupted(ctx, err)
		}
	}
}

// interrupted ends the dispatch of a truncated stream. It asks for another
// dispatch if the stream may be resumed or, before anything was forwarded, if
// the request may be repeated. A stream is resumed at the ID of its last event.
func (a *attempt) interrupted(ctx context.Context, err error) bool {
	x := a.exchange
	if err == nil || errors.Is(err, io.EOF) {
		err = errStreamTruncated
	}
	if !x.headerSent {
		return a.incomplete(ctx, err)
	}
	if ctx.Err() != nil || !x.route.Resumable || x.position.behind {
		a.abort(ctx)
	}
	return a.finish(a.failureOutcome(ctx), true)
}

// forwardEvents writes complete events to the caller and records their number,
// time and last ID.
func (a *attempt) forwardEvents(resp *http.Response, events []byte) {
	x := a.exchange
	now := time.Now()
	if a.events == 0 {
		a.first = now
		x.request.ResponseStarted(a.takeLimit())
	}
	a.last = now
	for e := range parseEvents(events) {
		a.events++
		x.events++
		x.position.advance(e)
	}
	a.watchdog.reset(x.position.lastID)
	if x.position.behind { // the stream cannot go on elsewhere
		a.watchdog.stop()
	}
	x.ensureHeaderSent(resp)
	_, err := x.w.Write(events)
	if err == nil {
		err = http.NewResponseController(x.w).Flush()
	}
	if err != nil {
		a.finish(bbtschedule.Cancelled, false)
		x.callerGone()
	}
}

// ensureHeaderSent sends the response header unless it has been sent. It leaves out the
// length of a stream that may go on at another endpoint.
func (x *exchange) ensureHeaderSent(resp *http.Response) {
	if x.headerSent {
		return
	}
	header := resp.Header
	if x.route.Resumable {
		header = header.Clone()
		header.Del("Content-Length")
	}
	x.sendHeader(resp.StatusCode, header)
}

// eventEnds are the ends of an event: a blank line, with or without a carriage return.
var eventEnds = [...][]byte{[]byte("\n\n"), []byte("\n\r\n")}

// completeEventsLen returns the length of the complete events at the start of
// buf.
func completeEventsLen(buf []byte) int {
	n := 0
	for _, end := range eventEnds {
		if i := bytes.LastIndex(buf, end); i >= 0 {
			n = max(n, i+len(end))
		}
	}
	return n
}
