package bbtschedule

import (
	"testing"
	"time"

	"bluebelltray/core/bbtcatalog"
)

// drainingReports are the ways by which an owner is told that plain-0 is draining, while
// request 0 runs there.
var drainingReports = map[string]func(s *Scheduler, i Incarnation){
	"first event": func(s *Scheduler, i Incarnation) { s.FirstEvent(start, "host", FirstEvent{ID: 0, Draining: i}) },
	"end": func(s *Scheduler, i Incarnation) {
		s.Done(start, "host", Done{ID: 0, Outcome: Failed, Draining: i})
	},
	"end of an unknown run": func(s *Scheduler, i Incarnation) {
		s.Done(start, "other", Done{ID: 7, Outcome: Unused, Draining: i})
	},
	"takeover": func(s *Scheduler, i Incarnation) { s.TakeOver(start, "other", Takeover{Draining: []Incarnation{i}}) },
}

// placements returns how many of n requests, with IDs from first on, are permitted for
// each endpoint.
func placements(s *Scheduler, now time.Time, first, n int) map[string]int {
	out := make(map[string]int)
	for i := range n {
		r := plainCall(first + i)
		r.Cost = 1
		for id, p := range permits(s.Register(now, "host", r)) {
			out[p.Endpoint]++
			now = now.Add(20 * time.Millisecond)
			s.Done(now, "host", Done{ID: id, Outcome: Finished})
		}
	}
	return out
}

// plainCall returns the registration of a plain call.
func plainCall(id int) Registration {
	return Registration{ID: RequestID(id), Service: "plain", Account: "salons", Cost: 50, RemainingTime: time.Second, RemainingObjective: time.Second, EffectiveObjective: time.Second}
}

// newTwoEndpoints returns a scheduler with two plain endpoints.
func newTwoEndpoints() *Scheduler {
	s := New(bounds())
	s.SetCatalog(start, bbtcatalog.NewIndex(testConfig(4)), listed("plain", 2, 100))
	return s
}

// Guards against an owner that goes on to place requests at an endpoint that has said in
// an answer that it is draining, and that its entry in the store calls ready.
func TestDrainingEndpointGetsNoPermits(t *testing.T) {
	for name, report := range drainingReports {
		t.Run(name, func(t *testing.T) {
			s := newTwoEndpoints()
			if got := permits(s.Register(start, "host", plainCall(0))); got[0].Endpoint != "plain-0" {
				t.Fatalf("got %+v, want a permit for plain-0", got)
			}
			report(s, incarnationOf(listed("plain", 2, 100)[0].Endpoint))
			if got := placements(s, start, 1000, 20); got["plain-0"] != 0 || got["plain-1"] != 20 {
				t.Errorf("got %v, want all at plain-1", got)
			}
			if st := s.Status(start)[0].Endpoints[0]; !st.Draining || st.Available {
				t.Errorf("got %+v, want it draining", st)
			}
			s.SetCatalog(start, s.index, listed("plain", 2, 100)) // the store says nothing of it
			if got := placements(s, start, 2000, 20); got["plain-0"] != 0 || got["plain-1"] != 20 {
				t.Errorf("got %v after an update of the catalog, want all at plain-1", got)
			}
			s.SetCatalog(start, s.index, listed("plain", 2, 100)[1:])
			s.SetCatalog(start, s.index, listed("plain", 2, 100)) // the store was restored from a copy
			if got := placements(s, start, 3000, 20); got["plain-0"] != 0 || got["plain-1"] != 20 {
				t.Errorf("got %v after the endpoint was gone from the catalog, want all at plain-1", got)
			}
			next := listed("plain", 2, 100)
			next[0].Endpoint.StartTimeMS = 7
			s.SetCatalog(start, s.index, next)
			if got := placements(s, start.Add(time.Second), 4000, 20); got["plain-0"] == 0 {
				t.Errorf("got %v after a new incarnation was listed, want some at plain-0", got)
			}
		})
	}
}

// Guards against runs that are dropped, or not counted any longer, as their endpoint is
// draining.
func TestRunsOfDrainingEndpointGoOn(t *testing.T) {
	s := newTwoEndpoints()
	s.Register(start, "host", plainCall(0))
	other := plainCall(1)
	other.Exclude = []string{"plain-1"}
	s.Register(start, "host", other)
	s.FirstEvent(start, "host", FirstEvent{ID: 0, Draining: incarnationOf(listed("plain", 2, 100)[0].Endpoint)})
	if got := s.Status(start)[0].Running(); got != 2 {
		t.Errorf("got %d runs, want 2", got)
	}
	s.Done(start, "host", Done{ID: 0, Outcome: Finished})
	if got := s.Status(start)[0].Running(); got != 1 {
		t.Errorf("got %d runs after the end of one, want 1", got)
	}
}

// Guards against a request that uses the limit of its account and the retry budget of
// its service twice, since its first permit was for an endpoint that is draining.
func TestRequestWithReturnedPermitIsCountedOnce(t *testing.T) {
	s := newTwoEndpoints()
	r := plainCall(1)
	a := s.index.Account("salons")
	first := permits(s.Register(start, "host", r))[1]
	level, budget := s.remaining(start, a, s.allowanceFor(a)), s.retryBudget.remaining(start, "plain", 1)
	s.Done(start, "host", Done{ID: 1, Outcome: Unused, Draining: first.Incarnation()})
	r.Exclude = []string{first.Endpoint}
	if got := permits(s.Register(start, "host", r))[1]; got.Endpoint == "" || got.Endpoint == first.Endpoint {
		t.Fatalf("got %+v after %+v, want a permit for the other endpoint", got, first)
	}
	if got := s.remaining(start, a, s.allowanceFor(a)); got != level {
		t.Errorf("got %v left of the limit, want %v", got, level)
	}
	if got := s.retryBudget.remaining(start, "plain", 1); got != budget {
		t.Errorf("got a retry budget of %v, want %v", got, budget)
	}
	retry := r
	retry.ID, retry.Attempt, retry.Retry = 2, 1, true
	second := permits(s.Register(start, "host", retry))[2]
	budget = s.retryBudget.remaining(start, "plain", 1)
	s.Done(start, "host", Done{ID: 2, Attempt: 1, Outcome: Unused, Draining: second.Incarnation()})
	s.Register(start, "host", retry)
	if got := s.retryBudget.remaining(start, "plain", 1); got != budget {
		t.Errorf("got a retry budget of %v after a retry's permit was returned, want %v", got, budget)
	}
}
