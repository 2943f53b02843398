package bbtschedule

import (
	"testing"
	"time"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtfleet"
)

// Guards against an endpoint whose entry has the address of another server, which
// refuses each request as misdirected: it never has a backlog, so it is chosen again and
// again, and each time costs a request one of its attempts.
func TestEndpointAtAnothersAddressGetsFewRequests(t *testing.T) {
	const (
		period = 10 * time.Second
		most   = 12 // dispatches in the period, with pauses that grow to two seconds
		host   = bbtfleet.HostID("h")
	)
	for _, service := range []string{"plain", "model"} {
		s := New(bounds())
		s.SetCatalog(start, bbtcatalog.NewIndex(testConfig(8)), listed(service, 2, 8))
		odd, sent := service+"-0", 0
		id := RequestID(0)
		for now := start; now.Before(start.Add(period)); now = now.Add(5 * time.Millisecond) {
			id++
			r := Registration{ID: id, Service: service, PromptTokens: 100, MaxOutputTokens: 6, RemainingTime: time.Second, RemainingObjective: time.Second, EffectiveObjective: time.Second}
			for got, p := range permits(append(s.Tick(now), s.Register(now, host, r)...)) {
				outcome := Finished
				if p.Endpoint == odd {
					sent++
					outcome = Misdirected
				}
				s.Done(now.Add(time.Millisecond), host, Done{ID: got, Attempt: p.Attempt, Outcome: outcome, Events: 1})
			}
		}
		if sent > most || sent == 0 {
			t.Errorf("%s: got %d dispatches of %d to the endpoint that is not there, want 1 to %d", service, sent, id, most)
		}
	}
}
