package bbtgateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// fallSilent sends the start of an answer, nothing for a while, and then the rest.
func fallSilent(head, rest string, silence time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Answer-Seal", "seal")
		if head != "" {
			_, _ = io.WriteString(w, head)
			_ = http.NewResponseController(w).Flush()
		}
		select {
		case <-time.After(silence):
			_, _ = io.WriteString(w, rest)
		case <-r.Context().Done():
		}
	}
}

// Guards against ending a request whose endpoint is silent for a while when the owner
// grants no other endpoint.
func TestSilentEndpointIsKeptWithoutAnother(t *testing.T) {
	for name, c := range map[string]struct{ path, head, rest string }{
		"before the first event": {"/fast-stream/", "", "id: 1\ndata: a\n\n"},
		"within the stream":      {"/fast-stream/", "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"},
		"not a stream":           {"/fast/", "", "ok"},
	} {
		g := newTestGateway(t, 1, fallSilent(c.head, c.rest, time.Second))
		resp, body, err := g.send(http.MethodGet, c.path, "")
		if want := c.head + c.rest; err != nil || resp.StatusCode != http.StatusOK || body != want {
			t.Errorf("%s: got %v %q, %v, want %q", name, resp, body, err, want)
		}
		if got := g.requestCount(); got != 1 {
			t.Errorf("%s: got %d dispatches, want 1", name, got)
		}
	}
}

// Guards against cutting a request at a silent endpoint since the one before has been
// refused for its silence: every silence is survived, not the first alone.
func TestRepeatedSilenceEndsNoStream(t *testing.T) {
	const events = 5
	g := newTestGateway(t, 1, trickle("", "data: a\n\n", 400*time.Millisecond, events))
	_, body, err := g.send(http.MethodPost, "/fast-stream/a", "body")
	if got := strings.Count(body, "data: a"); err != nil || got != events {
		t.Errorf("got %d events, %v, want %d", got, err, events)
	}
}
