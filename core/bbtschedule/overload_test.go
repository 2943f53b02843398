package bbtschedule

import (
	"testing"
	"time"
)

// Pattern: metastable overload. A burst fills all slots; refused callers come
// back when it is over. If they pushed fresh requests out, those would come back
// in turn and the overload would feed itself.
func TestOverloadEndsWithItsBurst(t *testing.T) {
	for seed := range uint64(5) {
		l := newLoad(newFleet(4, 10), seed)
		reg := func(i int) Registration { return stream(i, i%2) }
		l.steady(0, 5*time.Second, 30, reg)
		l.steady(5*time.Second, 9*time.Second, 110, reg)
		l.steady(9*time.Second, 25*time.Second, 30, reg)
		l.run(30 * time.Second)
		if got := l.inTime(0, 5*time.Second); got < 0.97 {
			t.Errorf("seed %d: got %.3f in time before the burst, want 0.97", seed, got)
		}
		if got := l.inTime(11*time.Second, 25*time.Second); got < 0.95 {
			t.Errorf("seed %d: got %.3f in time after the burst, want 0.95", seed, got)
		}
	}
}

// Pattern: sustained overload by half. What is served is served in time, since
// late requests get only what those in time leave.
func TestOverloadServesInTime(t *testing.T) {
	for seed := range uint64(5) {
		l := newLoad(newFleet(4, 10), seed)
		l.steady(0, 15*time.Second, 60, func(i int) Registration { return stream(i, 1) })
		l.run(20 * time.Second)
		capacity := 40.0 / 60 // slots over requests, as each holds one for a second
		if got := l.inTime(2*time.Second, 15*time.Second); got < 0.85*capacity {
			t.Errorf("seed %d: got %.3f in time, want %.3f", seed, got, 0.85*capacity)
		}
	}
}

// Pattern: two tiers in overload. The higher one is served as if it were alone.
func TestOverloadSparesTheHigherTier(t *testing.T) {
	for seed := range uint64(5) {
		l := newLoad(newFleet(4, 10), seed)
		l.steady(0, 15*time.Second, 60, func(i int) Registration { return stream(i, i%3) })
		l.run(20 * time.Second)
		all, good := [3]int{}, [3]int{}
		for _, c := range l.callers {
			all[c.reg.Tier]++
			if !c.first.IsZero() && c.first.Sub(c.born) <= c.reg.LatencyObjective {
				good[c.reg.Tier]++
			}
		}
		for tier, least := range [...]float64{0.95, 0.7} {
			if got := float64(good[tier]) / float64(all[tier]); got < least {
				t.Errorf("seed %d, tier %d: got %.3f in time, want %.2f", seed, tier, got, least)
			}
		}
	}
}

// Pattern: a line of callers that came back. It goes behind a fresh request and
// so is no reason to refuse it.
func TestLineBehindARequestDoesNotCount(t *testing.T) {
	s := newFleet(4, 10)
	now := start
	for i := range 40 {
		s.Register(now, "host", stream(i, 1))
	}
	for i := 100; i < 150; i++ {
		r := stream(i, 1)
		s.backoff.remember(now, r.Fingerprint)
		s.Register(now, "host", r)
	}
	out := s.Register(now, "host", stream(999, 1))
	if got := refusals(out); len(got) != 0 {
		t.Errorf("got refusals %v, want the request to wait", got)
	}
}

// Pattern: refused at once. What cannot get its turn in time is not held.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	s := newFleet(1, 2)
	for i := range 2 {
		s.Register(start, "host", stream(i, 1))
	}
	refused := 0
	for i := 10; i < 200; i++ {
		got := refusals(s.Register(start, "host", stream(i, 1)))
		for _, r := range got {
			refused++
			if r.RetryAfter < minRetryAfter || r.RetryAfter > 12*time.Second/retryAfterDivisor {
				t.Errorf("got Retry-After %v, want a time that the caller accepts", r.RetryAfter)
			}
		}
	}
	if refused < 150 {
		t.Errorf("got %d refused of 190 before two slots, want 150", refused)
	}
}

// Pattern: nothing is refused while an endpoint stands free.
func TestFreeEndpointTakesALateRequest(t *testing.T) {
	s := newFleet(2, 4)
	r := stream(1, 2)
	r.RemainingObjective = -time.Second
	if got := permits(s.Register(start, "host", r)); len(got) != 1 {
		t.Errorf("got %d permits, want 1", len(got))
	}
}

// Pattern: short requests behind long ones. One that holds its slot briefly does
// not wait behind a higher tier.
func TestBriefRequestGoesFirst(t *testing.T) {
	s := newFleet(1, 10)
	for i := range 11 {
		s.Register(start, "host", stream(i, 0))
	}
	brief := stream(20, 2)
	brief.MaxOutputTokens = 12
	s.Register(start, "host", brief)
	out := s.Done(start.Add(50*time.Millisecond), "host", Done{ID: 1, Outcome: Finished, Events: 30, Span: time.Second})
	if _, ok := permits(out)[20]; !ok {
		t.Errorf("got %v, want a permit for the brief request", permits(out))
	}
}
