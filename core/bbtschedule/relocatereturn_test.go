package bbtschedule

import (
	"testing"
	"time"
)

// Guards against retries that use up the budget without reaching an endpoint: a
// permit that crosses the end of its relocation is returned unused.
func TestUnusedRelocationPermitGivesItsRetryBack(t *testing.T) {
	s := newEngineScheduler(2, 1)
	r := silentRun(t, s, start, 1)
	before := s.retryBudget.remaining(start, r.Service, 1)
	if p := permits(s.Register(start, "host", r))[r.ID]; p.Endpoint == "" {
		t.Fatal("got no permit for the relocation, want one")
	}
	s.Done(start, "host", Done{ID: r.ID, Attempt: 1, Outcome: Unused})
	if got := s.retryBudget.remaining(start, r.Service, 1); got != before {
		t.Errorf("got %v retries left, want %v", got, before)
	}
}

// Guards against retries that are given back to another step of the meter, where there
// are none to take from, and so stay counted.
func TestWithdrawnRelocationGivesItsRetryBackAtAnyMoment(t *testing.T) {
	kept := 0
	for phase := time.Duration(0); phase < time.Second; phase += 25 * time.Millisecond {
		s := newEngineScheduler(1, 1)
		now := start.Add(phase)
		r := silentRun(t, s, now, 1)
		before := s.retryBudget.remaining(now, r.Service, 1)
		s.Register(now, "host", r)
		now = now.Add(300 * time.Millisecond)
		s.Withdraw(now, "host", Withdrawal{ID: r.ID, Attempt: 1})
		if got := s.retryBudget.remaining(now, r.Service, 1); got != before {
			kept++
		}
	}
	if kept > 0 {
		t.Errorf("got the retry kept at %d of 40 moments, want at none", kept)
	}
}

// Guards against retries that are not given back when a relocation is quarantined while
// it is queued.
func TestQuarantinedRelocationGivesItsRetryBack(t *testing.T) {
	s := newEngineScheduler(1, 1)
	r := silentRun(t, s, start, 1)
	before := s.retryBudget.remaining(start, r.Service, 1)
	if got := s.Register(start, "host", r); len(got) != 0 {
		t.Fatalf("got %v with all slots taken, want no answer yet", got)
	}
	s.suspects.quarantines = append(s.suspects.quarantines, &quarantine{traits: traitsOf(&r), until: start.Add(time.Hour)})
	if got := refusals(s.refuseBanned(start))[r.ID]; got.ID != r.ID {
		t.Fatalf("got %+v, want the relocation refused", got)
	}
	if got := s.retryBudget.remaining(start, r.Service, 1); got != before {
		t.Errorf("got %v retries left, want %v", got, before)
	}
}

// Guards against an endpoint that is paused for one silent request, since its silence
// counts when another endpoint is asked for and again when it ends, or each time that
// it is asked for.
func TestOneSilentRequestPausesNoEndpoint(t *testing.T) {
	s := newEngineScheduler(2, 4)
	r := silentRun(t, s, start, 1)
	if p := permits(s.Register(start, "host", r))[r.ID]; p.Endpoint == "" {
		t.Fatal("got no permit for the relocation, want one")
	}
	s.Done(start, "host", Done{ID: 1, Outcome: IdleTimeout})
	if !s.byID[r.Exclude[0]].available(start) {
		t.Error("relocated: got the endpoint paused after one silent request, want it available")
	}

	s = newEngineScheduler(1, 4)
	r = silentRun(t, s, start, 1)
	now := start
	for i := range 5 {
		now = now.Add(1200 * time.Millisecond)
		r.ID = RequestID(1001 + i)
		s.Register(now, "host", r)
		if !s.byID[r.Exclude[0]].available(now) {
			t.Errorf("asked again: got the endpoint paused for %v after request %d of the same silent run, want it available",
				s.byID[r.Exclude[0]].pausedUntil.Sub(now), i+1)
		}
		s.Withdraw(now, "host", Withdrawal{ID: r.ID, Attempt: 1})
	}
}

// Guards against slots that stay taken until the caller's deadline by permits that were
// lost on the way: the host has withdrawn the request and never uses the permit.
func TestWithdrawalEndsAPermitThatWasLost(t *testing.T) {
	s := newEngineScheduler(2, 1)
	r := silentRun(t, s, start, 1)
	p := permits(s.Register(start, "host", r))[r.ID]
	if p.Endpoint == "" {
		t.Fatal("got no permit for the relocation, want one")
	}
	now := start.Add(2 * time.Second) // the host has lost patience
	s.Withdraw(now, "host", Withdrawal{ID: r.ID, Attempt: 1})
	if got := len(s.byID[p.Endpoint].running); got != 0 {
		t.Errorf("got %d runs at the endpoint of the lost permit, want none", got)
	}
}

// Guards against a slot that stays taken for good: a request of a host that returns from
// another owner runs elsewhere, and still waits here since before.
func TestTakeOverEndsWhatTheHostNoLongerWaitsFor(t *testing.T) {
	s := newEngineScheduler(2, 1)
	s.Register(start, "other", stream(1, 1))
	s.Register(start, "other", stream(2, 1))
	w := stream(3, 1)
	w.RemainingObjective, w.EffectiveObjective = 5*time.Second, 5*time.Second
	if got := s.Register(start, "host", w); len(got) != 0 {
		t.Fatalf("got %v with all slots taken, want no answer yet", got)
	}
	now := start.Add(time.Second) // meanwhile another owner has permitted it
	var endpoint string
	for id, e := range s.byID {
		if e.running[key{"other", 1}] != nil {
			endpoint = id
		}
	}
	s.TakeOver(now, "host", Takeover{Running: []Running{{Registration: w, Endpoint: endpoint}}})
	s.Done(now, "other", Done{ID: 1, Outcome: Finished})
	s.Done(now, "other", Done{ID: 2, Outcome: Finished})
	for range 30 {
		now = now.Add(time.Second)
		s.Tick(now)
		s.Done(now, "host", Done{ID: 3, Outcome: Finished})
	}
	for id, e := range s.byID {
		if got := len(e.running); got != 0 {
			t.Errorf("got %d runs at %s 30 s after all requests have ended, want none", got, id)
		}
	}
}
