package bbtschedule

import (
	"fmt"
	"testing"
	"time"

	"bluebelltray/core/bbtcatalog"
)

// addCold replaces the endpoints of a running scheduler by a new one, which is
// cold.
func addCold(s *Scheduler, now time.Time, id string) []Action {
	l := listed("model", 1, 10)
	l[0].Endpoint.ID, l[0].ReceivedAt = id, now
	return s.SetCatalog(now, s.index, l)
}

func TestColdEndpointStaysWithinItsRate(t *testing.T) {
	s := newEngineScheduler(0, 10)
	now := start.Add(10 * time.Second)
	addCold(s, now, "cold")
	l := newLoad(s, 1)
	l.hold = 10 * time.Millisecond
	l.firstEventDelay = 5 * time.Millisecond
	var grants []time.Time
	l.onGrant = func(now time.Time, _ Permit) { grants = append(grants, now) }
	l.addCallers(10*time.Second, 13*time.Second, 200, func(i int) Registration { return stream(i, 1) })
	l.run(13 * time.Second)
	b := bounds()
	most := 20*b.ColdOver + b.ColdSlack
	for i, at := range grants {
		n := 0
		for _, other := range grants[i:] {
			if other.Sub(at) < time.Second && other.Before(start.Add(13*time.Second)) {
				n++
			}
		}
		if float64(n) > most {
			t.Fatalf("got %d requests within a second from %v, want at most %v", n, at.Sub(start), most)
		}
	}
	if len(grants) < 30 {
		t.Errorf("got %d requests in 3 s, want about 20 a second", len(grants))
	}
}

// Guards against two owners, each used by half of the hosts, that together exceed
// the rate of a cold endpoint.
func TestTwoOwnersTogetherStayWithinColdRate(t *testing.T) {
	b := bounds()
	total := 0
	for range 2 {
		s := newEngineScheduler(0, 10)
		s.SetShare(0.5+b.RateOver/2, 1)
		addCold(s, start, "cold")
		for i := range 1000 {
			now := start.Add(time.Duration(i) * time.Millisecond)
			for id := range permits(s.Register(now, "host", stream(i, 1))) {
				total++
				s.FirstEvent(now, "host", FirstEvent{ID: id})
				s.Done(now, "host", Done{ID: id, Outcome: Finished})
			}
		}
	}
	if most := 20*b.ColdOver + b.ColdSlack; float64(total) > most {
		t.Errorf("got %d requests in a second, want at most %v", total, most)
	}
}

func TestColdEndpointRampsUpWithFirstEvents(t *testing.T) {
	s := newEngineScheduler(0, 10)
	now := start.Add(time.Second)
	addCold(s, now, "cold")
	now = now.Add(5 * time.Second) // its cold time is over, but it has no first event yet
	granted := 0
	for i := range 10 {
		granted += len(permits(s.Register(now, "host", stream(i, 1))))
	}
	if granted != rampInitialSlots {
		t.Errorf("got %d requests at once, want %d", granted, rampInitialSlots)
	}
	now = now.Add(50 * time.Millisecond)
	s.FirstEvent(now, "host", FirstEvent{ID: 0})
	granted = 0
	for i := 10; i < 20; i++ {
		granted += len(permits(s.Register(now, "host", stream(i, 1))))
	}
	if granted != rampSlotsPerEvent {
		t.Errorf("got %d more after a first event, want %d", granted, rampSlotsPerEvent)
	}
}

func TestEngineWithoutFirstEventGetsNoFurtherRequests(t *testing.T) {
	s := newEngineScheduler(2, 10)
	s.Register(start, "host", stream(1, 1))
	first := s.runs[key{"host", 1}].endpoint
	now := start.Add(2 * time.Second)
	for i := 10; i < 18; i++ {
		for _, p := range permits(s.Register(now, "host", stream(i, 1))) {
			if p.Endpoint == first.record.ID {
				t.Fatalf("got request %d at the engine without first events, want none", i)
			}
		}
	}
}

func TestLongPromptWaitsRatherThanStallStreams(t *testing.T) {
	s := newEngineScheduler(1, 10)
	e := s.byID["model-0"]
	e.prefill.observe(0.05)
	s.Register(start, "host", stream(1, 0))
	long := stream(2, 0)
	long.PromptTokens = 5000 // 250 ms, longer than the streams beside it may be stalled
	long.RemainingObjective, long.EffectiveObjective = 2*time.Second, 2*time.Second
	if got := permits(s.Register(start, "host", long)); len(got) != 0 {
		t.Errorf("got a permit at once for the long prompt, want it to wait")
	}
	if got := permits(s.Tick(start.Add(long.EffectiveObjective/stallWaitDivisor + time.Millisecond))); len(got) != 1 {
		t.Errorf("got %d permits after its wait, want 1", len(got))
	}
}

func TestUnavailableEndpointsGetNoPermits(t *testing.T) {
	for name, change := range map[string]func(*bbtcatalog.ListedEndpoint){
		"draining": func(l *bbtcatalog.ListedEndpoint) { l.Endpoint.Draining = true },
		"zone out": func(l *bbtcatalog.ListedEndpoint) { l.ZoneOutOfService = true },
	} {
		s := newEngineScheduler(1, 10)
		l := listed("model", 1, 10)
		change(&l[0])
		s.SetCatalog(start, s.index, l)
		out := s.Register(start, "host", stream(1, 1))
		if got := permits(out); len(got) != 0 {
			t.Errorf("%s: got permits %v, want none", name, got)
		}
	}
}

func TestUnreachableEndpointIsPaused(t *testing.T) {
	s := newEngineScheduler(2, 10)
	s.Register(start, "host", stream(1, 1))
	bad := s.runs[key{"host", 1}].endpoint.record.ID
	s.Done(start, "host", Done{ID: 1, Outcome: Unreachable})
	for i := 2; i < 6; i++ {
		for _, p := range permits(s.Register(start, "host", stream(i, 1))) {
			if p.Endpoint == bad {
				t.Errorf("got request %d at the unreachable endpoint, want none", i)
			}
		}
	}
}

func TestSingleLostConnectionDoesNotPauseEndpoint(t *testing.T) {
	s := newEngineScheduler(1, 10)
	for i := range 2 {
		s.Register(start, "host", stream(i, 1))
	}
	s.Done(start, "host", Done{ID: 0, Outcome: ConnectionLost})
	if !s.byID["model-0"].available(start) {
		t.Error("got a paused endpoint after one lost connection, want it available")
	}
	s.Done(start, "host", Done{ID: 1, Outcome: ConnectionLost})
	if s.byID["model-0"].available(start) {
		t.Error("got an available endpoint after two lost connections in a row, want it paused")
	}
}

// Guards against a ramp-up for plain services that register when the scheduler
// already runs. They have no cold start, and only first events of streams would
// end the ramp.
func TestPlainServiceAddedLaterHasAllItsSlots(t *testing.T) {
	s := newEngineScheduler(0, 10)
	s.SetCatalog(start, s.index, listed("plain", 1, 6))
	granted := 0
	for i := range 6 {
		r := Registration{ID: RequestID(i), Service: "plain", RemainingTime: time.Second, RemainingObjective: time.Second, EffectiveObjective: time.Second}
		granted += len(permits(s.Register(start, "host", r)))
	}
	if granted != 6 {
		t.Errorf("got %d requests at once, want all 6 slots", granted)
	}
}

func TestExcludedEndpointIsNotChosen(t *testing.T) {
	s := newEngineScheduler(2, 10)
	r := stream(1, 1)
	r.Exclude = []string{"model-0"}
	if got := permits(s.Register(start, "host", r))[1].Endpoint; got != "model-1" {
		t.Errorf("got %q, want model-1", got)
	}
}

func TestFasterEngineIsPreferred(t *testing.T) {
	s := newEngineScheduler(2, 10)
	s.byID["model-0"].gap.observe(100)
	s.byID["model-1"].gap.observe(20)
	if got := permits(s.Register(start, "host", stream(1, 1)))[1].Endpoint; got != "model-1" {
		t.Errorf("got %q, want the faster model-1", got)
	}
}

func TestEndpointWithCachedPrefixIsPreferred(t *testing.T) {
	s := newEngineScheduler(2, 10)
	r := stream(1, 1)
	r.PromptTokens = 5000
	r.PromptBlocks = []PromptBlock{{ID: 7, Tokens: 4500}, {ID: 8, Tokens: 500}}
	first := permits(s.Register(start, "host", r))[1].Endpoint
	s.FirstEvent(start, "host", FirstEvent{ID: 1})
	s.Done(start, "host", Done{ID: 1, Outcome: Finished, Events: 30, Span: time.Second})
	r.ID = 2
	if got := permits(s.Register(start, "host", r))[2].Endpoint; got != first {
		t.Errorf("got %q, want %q, which has cached the prompt's blocks", got, first)
	}
}

func TestRestartedEndpointLosesItsEstimates(t *testing.T) {
	s := newEngineScheduler(1, 10)
	s.byID["model-0"].gap.observe(500)
	l := listed("model", 1, 10)
	l[0].Endpoint.StartTimeMS = 5
	now := start.Add(time.Second)
	s.SetCatalog(now, s.index, l)
	e := s.byID["model-0"]
	if e.gap.known || !now.Before(e.coldUntil) {
		t.Errorf("got gap known %t and cold %t, want a cold endpoint without samples", e.gap.known, now.Before(e.coldUntil))
	}
}

// Guards against holding back a request while endpoints are free, since its
// answer may take longer than the caller's deadline at every endpoint.
func TestRequestThatNoEndpointCanFinishIsSent(t *testing.T) {
	s := newEngineScheduler(2, 4)
	long := stream(1, 0)
	long.MaxOutputTokens, long.ExpectedOutputTokens = 30_000, 30_000
	if got := permits(s.Register(start, "host", long)); len(got) != 1 {
		t.Errorf("got %d permits, want 1", len(got))
	}
}

func BenchmarkRegisterWhenFull(b *testing.B) {
	for _, n := range []int{12, 112, 600} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			s := newEngineScheduler(n, 8)
			for i := range n * 8 {
				s.Register(start, "host", stream(i, 1))
			}
			b.ReportAllocs()
			i := n * 8
			for b.Loop() {
				i++
				s.Register(start, "host", stream(i, 1))
				s.Withdraw(start, "host", Withdrawal{ID: RequestID(i)})
			}
		})
	}
}

func TestEndpointInTheHostsZoneIsPreferred(t *testing.T) {
	for zone, want := range map[string]string{"zone-0": "model-0", "zone-1": "model-1"} {
		s := newEngineScheduler(2, 10)
		r := stream(1, 1)
		r.Zone = zone
		if got := permits(s.Register(start, "host", r))[1].Endpoint; got != want {
			t.Errorf("%s: got %q, want %q", zone, got, want)
		}
	}
}

// Guards against sending a long answer to a slow engine, where it would be cut
// off at the caller's deadline and all work would be wasted.
func TestEngineTooSlowForTheDeadlineIsNotChosen(t *testing.T) {
	s := newEngineScheduler(2, 4)
	s.byID["model-0"].gap.observe(120)
	s.byID["model-1"].gap.observe(20)
	for i := range 4 {
		r := stream(i, 0)
		r.Exclude = []string{"model-0"}
		s.Register(start, "host", r)
	}
	long := stream(10, 0)
	long.MaxOutputTokens = 1800 // 300 events, 36 s at the slow engine
	if got := permits(s.Register(start, "host", long)); len(got) != 0 {
		t.Errorf("got %v, want it to wait for the fast engine", got)
	}
	if got := permits(s.Register(start, "host", stream(11, 0))); got[11].Endpoint != "model-0" {
		t.Errorf("got %v, want a short answer at the slow engine", got)
	}
}
