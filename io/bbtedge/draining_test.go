package bbtedge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtschedule"
)

// putEndpoint adds an endpoint to the store, or replaces its entry.
func (s *store) putEndpoint(ep bbtcatalog.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update.Revision++
	s.update.Changes = append(s.update.Changes, bbtcatalog.Change{Revision: s.update.Revision, Endpoint: &ep})
	close(s.changed)
	s.changed = make(chan struct{})
}

// sendOne submits a request and ends its dispatch at once. It returns the ID of the
// endpoint, empty if the request is refused. If the endpoint is in draining, it says so.
func sendOne(t *testing.T, e *Edge, draining string) string {
	t.Helper()
	r := e.Submit(submission(time.Now()))
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	d, err := r.Next(ctx)
	if err != nil {
		return ""
	}
	time.Sleep(5 * time.Millisecond) // until the endpoint answers
	if d.Endpoint == draining {
		r.EndpointDraining(d)
	}
	r.DispatchEnded(bbtschedule.Done{Outcome: bbtschedule.Finished}, false)
	return d.Endpoint
}

// Guards against a host that sends an endpoint, which has told it that it is draining,
// what its next owner permits, or itself while it is cut off, and while the store says
// nothing of the draining, or is away.
func TestDrainingEndpointGetsNothingWhoeverOwns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, s := newNetwork(t), newStore(1)
		second := bbtcatalog.Endpoint{ID: "i-1", Service: "plain", Address: "10.1.0.2:80", Slots: 16}
		s.putEndpoint(second)
		edges := make(map[bbtfleet.HostID]*Edge)
		for _, id := range []bbtfleet.HostID{"a", "b", "c", "d"} {
			edges[id] = w.join(id, s, "a")
		}
		time.Sleep(3 * time.Second)
		c := edges["c"]
		for range 100 {
			if sendOne(t, c, "i-0") == "i-0" {
				break
			}
		}
		check := func(when string) {
			t.Helper()
			answered := 0
			for range 100 {
				switch got := sendOne(t, c, ""); got {
				case "i-0":
					t.Fatalf("%s: got a request at the endpoint that is draining, want none", when)
				case "i-1":
					answered++
				}
				time.Sleep(20 * time.Millisecond)
			}
			if answered < 50 {
				t.Errorf("%s: got %d of 100 requests at the other endpoint, want 50", when, answered)
			}
		}
		check("first owner")
		w.setIsolated("c", true)
		check("cut off")
		w.setIsolated("c", false)
		edges["a"].Close()
		check("next owner")
		s.mu.Lock()
		s.down = true
		s.mu.Unlock()
		check("store away")
		s.mu.Lock()
		s.down = false
		s.mu.Unlock()
		s.putEndpoint(bbtcatalog.Endpoint{ID: "i-0", Service: "plain", Address: "10.1.0.1:80", Slots: 16})
		check("entry put again")
		s.putEndpoint(bbtcatalog.Endpoint{ID: "i-0", Service: "plain", Address: "10.1.0.1:80", Slots: 16, StartTimeMS: 9})
		time.Sleep(time.Second)
		got := 0
		for range 100 {
			if sendOne(t, c, "") == "i-0" {
				got++
			}
		}
		if got == 0 {
			t.Error("new incarnation: got no request at it, want some")
		}
		closeAll(edges["b"], edges["c"], edges["d"])
	})
}

// Guards against a request that is lost, or refused, since the permit for a draining
// endpoint is returned to an owner that was not told.
func TestOwnerThatWasNotToldPlacesTheRequestAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, s := newNetwork(t), newStore(1)
		s.putEndpoint(bbtcatalog.Endpoint{ID: "i-1", Service: "plain", Address: "10.1.0.2:80", Slots: 16})
		a, b := w.join("a", s, "a"), w.join("b", s, "a")
		time.Sleep(3 * time.Second)
		for {
			r := b.Submit(submission(time.Now()))
			d, err := r.Next(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if d.Endpoint == "i-0" {
				r.EndpointDraining(d) // the report on the end of this dispatch comes after the next permits
				break
			}
			r.DispatchEnded(bbtschedule.Done{Outcome: bbtschedule.Finished}, false)
		}
		for i := range 10 {
			began := time.Now()
			r := b.Submit(submission(began)) // its dispatch goes on, so that the other endpoint is chosen otherwise
			d, err := r.Next(t.Context())
			if err != nil || d.Endpoint != "i-1" || time.Since(began) > 100*time.Millisecond {
				t.Errorf("request %d: got endpoint %q, %v after %v, want i-1 at once", i, d.Endpoint, err, time.Since(began))
			}
		}
		if got := b.counters.Get("permits-returned-draining"); got != 1 {
			t.Errorf("got %d permits returned, want 1, since it tells the owner", got)
		}
		closeAll(a, b)
	})
}
