package bbtgateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// respondRaw sends a response head and body as they are, and ends the connection.
func respondRaw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		writeRawAndClose(strings.ReplaceAll(text, "$ID", r.Header.Get("Call-Id")))(w, r)
	}
}

// Guards against the answer of the next endpoint in the middle of a stream that has
// begun: an error's text or head, events that do not continue the stream, or an end that
// looks like that of a complete stream.
func TestResumedStreamGetsNothingButItsContinuation(t *testing.T) {
	const rest = "id: 3\ndata: c\n\n"
	rawError := "HTTP/1.1 500 Failed\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nfailed"
	for name, second := range map[string]http.HandlerFunc{
		"error 500":                    respond(500, "failed\n\n"),
		"error 503":                    respond(503, "failed\n\n"),
		"error 400":                    respond(400, "failed\n\n"),
		"status 204":                   respond(204, ""),
		"status 302":                   respond(302, "id: 3\ndata: moved\n\n"),
		"refusal":                      rejectNotRun,
		"no answer":                    writeRawAndClose(""),
		"error's text":                 respond(200, "{\"error\":\"failed\"}\n\n"),
		"error's text as an event":     respond(200, "event: error\ndata: failed\n\n"),
		"error's head":                 respondRaw(streamHead + rawError + "\r\n\r\n"),
		"error's head, then the rest":  respondRaw(streamHead + rawError + "\r\n\r\n" + rest),
		"error's head, cut":            respondRaw(streamHead + rawError),
		"answer without seal":          respondRaw(strings.Replace(streamHead, "Answer-Seal: seal\r\n", "", 1) + rest),
		"answer to another request":    respondRaw(strings.Replace(streamHead, "$ID", "other", 1) + rest),
		"encoded answer":               respondRaw(strings.Replace(streamHead, "\r\n\r\n", "\r\nContent-Encoding: gzip\r\n\r\n", 1) + rest),
		"nothing":                      respond(200, ""),
		"nothing, ended by connection": respondRaw(streamHead),
		"last event again":             respond(200, "id: 2\ndata: b\n\n"+rest),
		"from the start":               respond(200, twoEvents+rest),
		"an event missing":             respond(200, "id: 4\ndata: d\n\n"),
		"an ID that is no number":      respond(200, "id: x\ndata: c\n\n"),
		"an empty ID":                  respond(200, "id:\ndata: c\n\n"),
		"an ID too large":              respond(200, "id: 99999999999999999999\ndata: c\n\n"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newTestGateway(t, 2, streamAndAbort(twoEvents), second)
			resp, body, err := g.send(http.MethodPost, "/resume/a", "x")
			if err == nil || body != twoEvents {
				t.Errorf("got %v %q, %v, want the first two events and a truncated response", resp, body, err)
			}
			if got := g.requestsInHand(); got != 0 {
				t.Errorf("got %d requests in hand after the answer, want 0", got)
			}
		})
	}
	for name, c := range map[string]struct{ first, second, want string }{
		"rest":                   {twoEvents, rest, twoEvents + rest},
		"comment before":         {twoEvents, ": soon\n\n" + rest, twoEvents + ": soon\n\n" + rest},
		"last event without ID":  {twoEvents, rest + "data: end\n\n", twoEvents + rest + "data: end\n\n"},
		"IDs that are no number": {"id: a\ndata: a\n\n", "id: b\ndata: b\n\n", "id: a\ndata: a\n\nid: b\ndata: b\n\n"},
		"IDs with gaps":          {"id: 6\ndata: a\n\nid: 12\ndata: b\n\n", "id: 15\ndata: c\n\n", "id: 6\ndata: a\n\nid: 12\ndata: b\n\nid: 15\ndata: c\n\n"},
		"IDs from zero":          {"id: 0\ndata: a\n\n", "id: 1\ndata: b\n\n", "id: 0\ndata: a\n\nid: 1\ndata: b\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newTestGateway(t, 2, streamAndAbort(c.first), respond(200, c.second))
			if resp, body, err := g.send(http.MethodPost, "/resume/a", "x"); err != nil || body != c.want {
				t.Errorf("got %v %q, %v, want %q", resp, body, err, c.want)
			}
		})
	}
}

// Guards against events that a caller gets twice: those behind the last ID come again
// from the endpoint that the stream is resumed at.
func TestStreamIsNotResumedBehindEventsWithoutID(t *testing.T) {
	for name, first := range map[string]string{
		"no IDs":            "data: a\n\n",
		"after the last ID": twoEvents + "data: c\n\n",
		"ID of no header":   "id: a\x01b\ndata: a\n\n",
	} {
		g := newTestGateway(t, 2, streamAndAbort(first), respond(200, first+"id: 3\ndata: c\n\n"))
		resp, body, err := g.send(http.MethodPost, "/resume/a", "x")
		if err == nil || body != first {
			t.Errorf("%s: got %v %q, %v, want %q and a truncated response", name, resp, body, err, first)
		}
		if got := g.requestCount(); got != 1 {
			t.Errorf("%s: got %d runs, want 1", name, got)
		}
	}
	// A pause is then no reason to break off the stream, since it cannot go on elsewhere.
	g := newTestGateway(t, 2, trickle("data: a\n\n", "data: a\n\n", 400*time.Millisecond, 3), respond(200, "data: b\n\n"))
	_, body, err := g.send(http.MethodPost, "/fast-stream/a", "x")
	if want := strings.Repeat("data: a\n\n", 4); err != nil || body != want || g.requestCount() != 1 {
		t.Errorf("got %q of %d runs, %v, want %q of one", body, g.requestCount(), err, want)
	}
}

// Guards against a stream that seems complete, or is cut, at the length that its first
// endpoint has stated, while another one goes on.
func TestLengthOfABrokenStreamDoesNotHold(t *testing.T) {
	for name, length := range map[string]string{"reached before the end": "30", "beyond the end": "3000"} {
		first := respondRaw("HTTP/1.1 200 OK\r\nCall-Id: $ID\r\nAnswer-Seal: seal\r\nContent-Length: " + length + "\r\n\r\n" + oneEvent)
		g := newTestGateway(t, 2, first, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Answer-Seal", "seal")
			for _, event := range []string{"id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"} {
				_, _ = io.WriteString(w, event)
				_ = http.NewResponseController(w).Flush()
				<-time.After(50 * time.Millisecond)
			}
		})
		resp, body, err := g.send(http.MethodPost, "/resume/a", "x")
		if want := twoEvents + "id: 3\ndata: c\n\n"; err != nil || body != want {
			t.Errorf("%s: got %v %q, %v, want %q", name, resp, body, err, want)
		}
	}
}
