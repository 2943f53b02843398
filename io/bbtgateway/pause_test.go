package bbtgateway_test

import (
	"net/http"
	"testing"
	"time"
)

// busy adds the time for which an endpoint wants no requests to a response.
func busy(period string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Pause", period)
		w.Header().Set("Retry-After", "7.5")
		next(w, r)
	}
}

// Guards against requests that reach an endpoint, after an answer of any kind in which it
// says that it wants none from this host, and against what the answer to another request,
// or of another server, says.
func TestBusyEndpointGetsNoFurtherRequest(t *testing.T) {
	for name, test := range map[string]struct {
		target string
		answer http.HandlerFunc
		pauses bool
	}{
		"not run":           {"/once/a", busy("20s", rejectNotRun), true},
		"not run, again":    {"/again/a", busy("20s", rejectNotRun), true},
		"run":               {"/once/a", busy("20s", respond(503, "failed")), true},
		"run, again":        {"/again/a", busy("20s", respond(503, "failed")), true},
		"stream":            {"/stream/a", busy("20s", rejectNotRun), true},
		"no time":           {"/once/a", respond(503, "failed"), false},
		"negative":          {"/once/a", busy("-20s", rejectNotRun), false},
		"another request's": {"/once/a", busy("20s", foreign), false},
		"another server's":  {"/once/a", busy("20s", respond(421, "")), false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endpoints := 1 // that get all requests
			if test.pauses {
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
			if test.pauses && got != 0 {
				t.Errorf("got %d requests to the busy endpoint, want none", got)
			}
			if !test.pauses && got != 40 {
				t.Errorf("got %d of 40 requests to the only endpoint, which wants some, want all", got)
			}
		})
	}
}

// Guards against a caller that is told the time that an endpoint told this host.
func TestCallerIsNotToldTheTimeOfAnEndpoint(t *testing.T) {
	for name, target := range map[string]string{"once": "/once/a", "again": "/again/a"} {
		for _, period := range []string{"20s", "soon"} {
			g := newTestGateway(t, 1, busy(period, respond(503, "failed")))
			resp, body, err := g.send("POST", target, "x", "Left-Ms", "500")
			if err != nil || resp.StatusCode != 503 || body != "failed" {
				t.Fatalf("%s: got %v, %q, %v, want the endpoint's failure", name, resp, body, err)
			}
			if got := resp.Header["Retry-After"]; len(got) != 1 || got[0] != "0.200" {
				t.Errorf("%s, %s: got %q, want this host's own time to retry", name, period, got)
			}
		}
	}
}

// Guards against a caller that waits for an endpoint that is busy for longer than the
// caller's time, instead of being refused at once.
func TestRequestIsRefusedAtOnceWhileTheOnlyEndpointIsBusy(t *testing.T) {
	g := newTestGateway(t, 1, busy("20s", rejectNotRun), respond(200, "ok"))
	_, _, _ = g.send("POST", "/once/a", "x")
	began := time.Now()
	resp, _, err := g.send("POST", "/once/a", "x")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || g.requestCount() != 1 {
		t.Errorf("got %v, %v and %d requests at the endpoint, want a refusal", resp, err, g.requestCount())
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("got the refusal after %v, want it at once", took)
	}
}
