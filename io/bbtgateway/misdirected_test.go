package bbtgateway_test

import (
	"net/http"
	"testing"
	"time"

	"bluebelltray/core/bbtcatalog"
)

// Guards against requests that are sent again and again to an address at which another
// server is, and against one of them being lost by that.
func TestAddressOfAnotherServerGetsFewRequests(t *testing.T) {
	const (
		requests = 200
		most     = 6
	)
	g := newTestGateway(t, 1, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Wanted-Endpoint") != "i-0" {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		respond(200, "ok")(w, r)
	})
	g.changes <- bbtcatalog.Update{Revision: 2, Changes: []bbtcatalog.Change{{Revision: 2, Endpoint: &bbtcatalog.Endpoint{
		ID: "a-odd", Service: "plain", Slots: 64, Address: g.addrs[0],
	}}}}
	for range requests {
		<-time.After(5 * time.Millisecond)
		if resp, body, err := g.send(http.MethodPost, "/once/a", "x"); err != nil || resp.StatusCode != 200 || body != "ok" {
			t.Fatalf("got %v %q, %v, want the answer", resp, body, err)
		}
	}
	if got := g.requestCount() - requests; got < 1 || got > most {
		t.Errorf("got %d misdirected dispatches of %d requests, want 1 to %d", got, requests, most)
	}
}
