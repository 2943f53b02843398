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

// Bounds of a stream's buffer.
const (
	streamBuffer = 4 << 10
	maxEvent     = 1 << 20
)

// stream passes events on as they come, each of them whole. A stream that
// breaks off goes on at another endpoint if it may be resumed.
func (a *answer) stream(ctx context.Context, resp *http.Response) bool {
	x := a.exchange
	buf := make([]byte, 0, streamBuffer)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := resp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if whole := wholeEvents(buf); whole > 0 {
			a.emit(resp, buf[:whole])
			buf = buf[:copy(buf, buf[whole:])]
		}
		switch {
		case err == nil && len(buf) < maxEvent:
		case errors.Is(err, io.EOF) && len(buf) == 0 && (a.events > 0 || x.events > 0):
			x.started(resp)
			return a.done(bbtschedule.Finished, false)
		default:
			return a.interrupted(ctx, err)
		}
	}
}

// interrupted ends a stream that broke off.
func (a *answer) interrupted(ctx context.Context, err error) bool {
	x := a.exchange
	if err == nil || errors.Is(err, io.EOF) {
		err = errBrokenOff
	}
	if !x.answered {
		return a.cut(ctx, err)
	}
	if ctx.Err() != nil || !x.route.Resumable {
		a.broken(ctx)
	}
	return a.done(a.outcomeOf(ctx), true)
}

// emit passes whole events on.
func (a *answer) emit(resp *http.Response, events []byte) {
	x := a.exchange
	now := time.Now()
	if a.events == 0 {
		a.first = now
		x.flight.Began()
	}
	a.last = now
	a.silence.heard()
	n, last := count(events)
	a.events += n
	x.events += n
	if last != "" {
		x.lastID = last
	}
	x.started(resp)
	_, err := x.w.Write(events)
	if err == nil {
		err = http.NewResponseController(x.w).Flush()
	}
	if err != nil {
		a.done(bbtschedule.Cancelled, false)
		x.reason = "caller-gone"
		panic(http.ErrAbortHandler)
	}
}

// started sends the head of the answer unless that has happened.
func (x *exchange) started(resp *http.Response) {
	if !x.answered {
		x.writeHead(resp.StatusCode, resp.Header)
	}
}

// wholeEvents returns the length of the whole events that buf begins with.
func wholeEvents(buf []byte) int {
	if i := bytes.LastIndex(buf, []byte("\n\n")); i >= 0 {
		return i + 2
	}
	return 0
}

// count returns the number of events and the last event's ID.
func count(events []byte) (int, string) {
	n, last := 0, ""
	for line := range bytes.Lines(events) {
		line = bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			last = string(bytes.TrimSpace(id))
		}
		if len(line) == 0 {
			n++
		}
	}
	return n, last
}
