package bbtgateway_test

import (
	"net/http"
	"testing"
	"time"
)

// Guards against answers that the gateway itself ends at a deadline, told as broken off
// by their endpoints.
func TestBrokenOffAnswerNamesItsReason(t *testing.T) {
	for reason, endpoint := range map[string]http.HandlerFunc{
		"timeout":           stall("id: 1\ndata: a\n\n"),
		"answer-incomplete": streamAndAbort("id: 1\ndata: a\n\n"),
	} {
		g := newTestGateway(t, 1, endpoint)
		if _, _, err := g.send(http.MethodPost, "/stream/", "", "Left-Ms", "500"); err == nil {
			t.Errorf("%s: got a complete answer, want it broken off", reason)
		}
		for deadline := time.Now().Add(5 * time.Second); g.counters.Get("answers-broken-off-"+reason) == 0 && time.Now().Before(deadline); {
			<-time.After(time.Millisecond)
		}
		if got := g.counters.Get("answers-broken-off-" + reason); got != 1 {
			t.Errorf("%s: got it counted %d times, want once", reason, got)
		}
	}
}
