package bbtgateway_test

import (
	"net/http"
	"testing"
)

// Guards against a second run of a request that may run once: net/http sends a request
// again by itself if a reused connection ends before the answer and the request has no
// body, or a key by which endpoints are thought to tell repetitions.
func TestRequestsThatRunOnceAreNotResent(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, target := range []string{"/once/a", "/stream/a"} {
			g := newTestGateway(t, 1, respond(200, "id: 1\ndata: a\n\n"), writeRawAndClose(""), respond(200, "id: 1\ndata: a\n\n"))
			if resp, _, err := g.send(method, target, "", "Idempotency-Key", "k"); err != nil || resp.StatusCode != 200 {
				t.Fatalf("%s %s: got %v, %v, want an answer", method, target, resp, err)
			}
			resp, _, err := g.send(method, target, "", "Idempotency-Key", "k")
			if err != nil || resp.StatusCode != http.StatusBadGateway {
				t.Errorf("%s %s: got %v, %v, want status 502", method, target, resp, err)
			}
			if got := g.requestCount(); got != 2 {
				t.Errorf("%s %s: got %d arrivals of two requests, want 2", method, target, got)
			}
		}
	}
}
