package bbtgateway_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bluebelltray/io/bbtedge"
)

// requestsInHand returns the number of requests that have not ended for the scheduler. It
// waits a second for none: a caller may have read the last byte of an answer before the
// end of its dispatch is reported.
func (g *testGateway) requestsInHand() int {
	g.t.Helper()
	n := g.countInHand()
	for range 100 {
		if n == 0 {
			break
		}
		<-time.After(10 * time.Millisecond)
		n = g.countInHand()
	}
	return n
}

// countInHand returns the number of requests that have not ended for the scheduler.
func (g *testGateway) countInHand() int {
	g.t.Helper()
	w := httptest.NewRecorder()
	g.edge.StatusPage().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/status", nil))
	var status bbtedge.Status
	if err := json.Unmarshal(w.Body.Bytes(), &status); err != nil {
		g.t.Fatal(err)
	}
	return status.Requests
}

// Guards against a caller whose connection is closed without an answer, or who gets one
// that is none, and a dispatch that never ends for its owner: an endpoint's status is no
// final one.
func TestStatusThatIsNotFinalIsNoAnswer(t *testing.T) {
	long := strings.Repeat("z", 600<<10) // longer than what is buffered
	for _, status := range []string{"000", "007", "099", "101"} {
		for name, body := range map[string]string{"no body": "", "a body": "ok", "a long body": long} {
			for target, want := range map[string]int{"/once/a": 502, "/stream/a": 502, "/again/a": 200, "/resume/a": 200} {
				head := fmt.Sprintf("HTTP/1.1 %s Odd\r\nCall-Id: id-1\r\nAnswer-Seal: s\r\nUpgrade: x\r\nConnection: upgrade\r\nContent-Length: %d\r\n\r\n", status, len(body))
				g := newTestGateway(t, 2, writeRawAndClose(head+body), respond(200, "id: 1\ndata: a\n\n"))
				resp, _, err := g.send(http.MethodPost, target, "x")
				if err != nil || resp.StatusCode != want {
					t.Errorf("%s with %s, %s: got %v, %v, want status %d", status, name, target, resp, err, want)
				}
				if got := g.requestsInHand(); got != 0 {
					t.Errorf("%s with %s, %s: got %d requests in hand after the answer, want 0", status, name, target, got)
				}
			}
		}
	}
}
