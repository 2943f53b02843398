package bbtgateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// saying adds what the endpoint says on its draining to a response.
func saying(value string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Draining", value)
		next(w, r)
	}
}

// reached returns the number of requests that have reached each endpoint.
func (g *testGateway) reached() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make(map[string]int)
	for _, r := range g.requests {
		out[r.Header.Get("Wanted-Endpoint")]++
	}
	return out
}

// Guards against requests that reach an endpoint after an answer of any kind in which it
// says that it is draining, and against what the answer to another request, or of
// another server, says.
func TestDrainingEndpointGetsNoFurtherRequest(t *testing.T) {
	for name, test := range map[string]struct {
		target   string
		answer   http.HandlerFunc
		draining bool
	}{
		"call":              {"/once/a", saying("yes", respond(200, "ok")), true},
		"repeatable call":   {"/again/a", saying("yes", respond(200, "ok")), true},
		"long answer":       {"/again/a", saying("yes", respond(200, strings.Repeat("x", 1<<20))), true},
		"stream":            {"/stream/a", saying("yes", respond(200, events)), true},
		"error":             {"/once/a", saying("yes", respond(500, "failed")), true},
		"repeated error":    {"/again/a", saying("yes", respond(500, "failed")), true},
		"not found":         {"/once/a", saying("yes", respond(404, "none")), true},
		"not run":           {"/once/a", saying("yes", rejectNotRun), true},
		"incomplete stream": {"/stream/a", saying("yes", streamAndAbort("data: a")), true},
		"mismatched":        {"/once/a", saying("yes", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) }), true},
		"says nothing":      {"/once/a", respond(200, "ok"), false},
		"says otherwise":    {"/once/a", saying("maybe", respond(200, "ok")), false},
		"another request's": {"/once/a", saying("yes", foreign), false},
		"another server's":  {"/once/a", saying("yes", respond(421, "")), false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endpoints := 1 // that get all requests
			if test.draining {
				endpoints = 2
			}
			g := newTestGateway(t, endpoints, test.answer, respond(200, events))
			_, _, _ = g.send("POST", test.target, "x")
			g.mu.Lock()
			first := g.requests[0].Header.Get("Wanted-Endpoint")
			g.mu.Unlock()
			before := g.reached()[first]
			for i := range 40 {
				if i == 10 {
					<-time.After(100 * time.Millisecond) // until a pause of the endpoint after a failure has ended
				}
				if resp, _, err := g.send("POST", "/once/a", "x"); err != nil || resp.StatusCode != 200 {
					t.Fatalf("got %v, %v, want an answer of either endpoint", resp, err)
				}
			}
			got := g.reached()[first] - before
			if test.draining && got != 0 {
				t.Errorf("got %d requests to the endpoint that is draining, want none", got)
			}
			if !test.draining && got != 40 {
				t.Errorf("got %d of 40 requests to the only endpoint, which is not draining, want all", got)
			}
		})
	}
}

// Guards against a stream that is cut off, since its endpoint says in its head, or in an
// answer to another request, that it is draining.
func TestStreamOfDrainingEndpointGoesOn(t *testing.T) {
	resume := make(chan struct{})
	stream := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Answer-Seal", "seal")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		<-resume
		_, _ = io.WriteString(w, "id: 2\ndata: b\n\n")
	}
	g := newTestGateway(t, 1, stream, saying("yes", respond(200, "ok")))
	done := make(chan string)
	go func() {
		_, body, _ := g.send("POST", "/stream/a", "x")
		done <- body
	}()
	for g.requestCount() == 0 {
		<-time.After(time.Millisecond)
	}
	_, _, _ = g.send("POST", "/once/a", "x")
	resp, _, err := g.send("POST", "/once/a", "x", "Left-Ms", "400")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || g.requestCount() != 2 {
		t.Errorf("got %v, %v and %d requests at the endpoint, want a refusal of the third", resp, err, g.requestCount())
	}
	close(resume)
	if body := <-done; body != events {
		t.Errorf("got %q, want the complete stream", body)
	}
}

// Guards against a header of an endpoint that is not understood and of which nobody is
// told.
func TestHeaderOfEndpointThatIsNotUnderstoodIsCounted(t *testing.T) {
	g := newTestGateway(t, 1, saying("maybe", respond(200, "ok")))
	for range 3 {
		_, _, _ = g.send("POST", "/once/a", "x")
	}
	if got := g.counters.Get("endpoint-headers-ignored"); got != 3 {
		t.Errorf("got %d headers counted, want 3", got)
	}
}
