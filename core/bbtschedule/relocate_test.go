package bbtschedule

import (
	"testing"
	"time"

	"bluebelltray/core/bbtverdict"
)

// silentRun registers a request, whose permit is expected, and returns the registration
// of its relocation from the endpoint that it is silent at.
func silentRun(t *testing.T, s *Scheduler, now time.Time, id int) Registration {
	t.Helper()
	r := stream(id, 1)
	p, ok := permits(s.Register(now, "host", r))[r.ID]
	if !ok {
		t.Fatalf("got no permit for %d, want one", id)
	}
	r.ID += 1000
	r.Attempt, r.Retry, r.Silent, r.Exclude = 1, true, RequestID(id), []string{p.Endpoint}
	r.RemainingObjective = -time.Second // missed, as the endpoint has been silent
	return r
}

// Guards against a request that is refused another endpoint since its objective has
// passed in the silence, although a slot becomes free within its longest wait.
func TestRelocationWaitsForASlot(t *testing.T) {
	s := newEngineScheduler(2, 1)
	r := silentRun(t, s, start, 1)
	other := silentRun(t, s, start, 2) // holds the other slot
	if got := s.Register(start, "host", r); len(got) != 0 {
		t.Fatalf("got %v with all slots taken, want no answer yet", got)
	}
	now := start.Add(50 * time.Millisecond)
	granted := permits(s.Done(now, "host", Done{ID: other.ID - 1000, Outcome: Finished}))
	if p := granted[r.ID]; p.Endpoint == "" || p.Endpoint == r.Exclude[0] || p.Attempt != 1 {
		t.Errorf("got %+v once the other endpoint is free, want a permit there", granted)
	}
	if s.runs[key{"host", 1}] == nil {
		t.Error("got the run at the silent endpoint dropped, want it kept until its end is reported")
	}
}

// Guards against callers that are told nothing and are still expected back, and against
// retries that use up the budget without reaching an endpoint.
func TestRefusedRelocationCostsNothing(t *testing.T) {
	s := newEngineScheduler(1, 1)
	r := silentRun(t, s, start, 1)
	before := s.retryBudget.remaining(start, r.Service, 1)
	s.Register(start, "host", r)
	var refused map[RequestID]Refusal
	now := start
	for len(refused) == 0 && now.Before(start.Add(5*time.Second)) {
		now = now.Add(10 * time.Millisecond)
		refused = refusals(s.Tick(now))
	}
	if f, ok := refused[r.ID]; !ok || f.Attempt != 1 || f.Reason != string(bbtverdict.ReasonPoolFull) || f.RetryAfter != 0 {
		t.Errorf("got %+v, want the relocation refused without a time to return", refused)
	}
	if got := s.retryBudget.remaining(now, r.Service, 1); got != before {
		t.Errorf("got %v retries left, want %v", got, before)
	}
	if s.backoff.wasRefused(now, r.Fingerprint) {
		t.Error("got the caller remembered as refused")
	}
	s.Register(now, "host", r)
	s.Withdraw(now, "host", Withdrawal{ID: r.ID, Attempt: 1})
	if got := s.retryBudget.remaining(now, r.Service, 1); got != before || s.HasWaiting() {
		t.Errorf("got %v retries left and waiting %t after a withdrawal, want %v and none", got, s.HasWaiting(), before)
	}
}

// Guards against new requests for an endpoint that has become silent, and against an
// endpoint that is paused for one silent request.
func TestEndpointsSilentToSeveralRequestsArePaused(t *testing.T) {
	s := newEngineScheduler(1, 4)
	a, b := silentRun(t, s, start, 1), silentRun(t, s, start, 2)
	s.Register(start, "host", a)
	if !s.byID[a.Exclude[0]].available(start) {
		t.Error("got the endpoint paused after one silent request")
	}
	s.Register(start, "host", b)
	if s.byID[a.Exclude[0]].available(start) {
		t.Error("got the endpoint available after two silent requests")
	}
}

func TestRelocationsStayWithinTheRetryBudget(t *testing.T) {
	const requests = 100
	s := newEngineScheduler(2*requests, 1)
	var silent []Registration
	for i := range requests {
		silent = append(silent, silentRun(t, s, start, i+1))
	}
	granted := 0
	for _, r := range silent {
		granted += len(permits(s.Register(start, "host", r)))
	}
	b := bounds()
	if most := b.RetryRatio*requests + b.RetrySlack; float64(granted) > most || granted < requests/5 {
		t.Errorf("got %d of %d requests relocated, want a fifth and at most %v", granted, requests, most)
	}
}
