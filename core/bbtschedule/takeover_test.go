package bbtschedule

import (
	"testing"
	"time"
)

// Guards against wrong forecasts after an owner stops while all engines are
// busy and hosts report their runs to its successor. Streams that have begun do
// not add to the prefill backlog, and the time since their permits is not a
// sample of the engines' speed.
func TestNewOwnerForecastsLikeItsPredecessor(t *testing.T) {
	first, second := newEngineScheduler(2, 10), newEngineScheduler(2, 10)
	var running []Running
	for i := range 12 {
		r := stream(i, 1)
		r.PromptTokens = 6000
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		for id, p := range permits(first.Register(now, "host", r)) {
			second.ImportSpeed(p.Endpoint, p.SpeedEstimate)
			first.FirstEvent(now.Add(80*time.Millisecond), "host", FirstEvent{ID: id})
			running = append(running, Running{Registration: r, Endpoint: p.Endpoint, FirstEvent: i < 10, Elapsed: 2 * time.Second})
		}
	}
	if len(running) != 12 {
		t.Fatalf("got %d running, want 12", len(running))
	}
	now := start.Add(2 * time.Second)
	second.TakeOver(now, "host", Takeover{Running: running})
	for _, it := range running[10:] {
		second.FirstEvent(now.Add(10*time.Millisecond), "host", FirstEvent{ID: it.Registration.ID})
	}
	for id, e := range second.byID {
		want := first.byID[id]
		if len(e.running) != len(want.running) {
			t.Errorf("%s: got %d running, want %d", id, len(e.running), len(want.running))
		}
		if got := e.backlog(now); got != 0 {
			t.Errorf("%s: got a backlog of %v ms, want none", id, got)
		}
		if got, w := e.prefill.orDefault(0), want.prefill.orDefault(0); got < w/2 || got > 2*w {
			t.Errorf("%s: got %v ms a token, want about %v", id, got, w)
		}
	}
}

// Guards against a ramp-up of an endpoint that the new owner saw appear cold
// long ago. The first events that the former owner has counted since are
// included in its permits.
func TestNewOwnerDoesNotRampUpAWarmEndpointAgain(t *testing.T) {
	s := newEngineScheduler(0, 10)
	addCold(s, start, "warm")
	s.ImportSpeed("warm", SpeedEstimate{PrefillMsPerToken: 0.01, EventGapMs: 20, FirstEvents: 30})
	now := start.Add(time.Minute)
	granted := 0
	for i := range 10 {
		granted += len(permits(s.Register(now, "host", stream(i, 1))))
	}
	if granted != 10 {
		t.Errorf("got %d requests at once, want all 10 slots", granted)
	}
}

// Guards against slots that stay occupied when a host briefly uses another owner
// and returns. The ends of runs in between were reported to the other
// owner.
func TestTakeoverFreesSlotsOfUnlistedRuns(t *testing.T) {
	s := newEngineScheduler(0, 1)
	s.SetCatalog(start, s.index, listed("plain", 1, 2))
	call := func(id RequestID) Registration {
		return Registration{ID: id, Service: "plain", RemainingTime: 10 * time.Second, RemainingObjective: time.Second, EffectiveObjective: time.Second}
	}
	for id := RequestID(1); id <= 2; id++ {
		if got := len(permits(s.Register(start, "host", call(id)))); got != 1 {
			t.Fatalf("got %d permits for request %d, want 1", got, id)
		}
	}
	now := start.Add(time.Second)
	s.TakeOver(now, "other", Takeover{})
	if got := len(permits(s.Register(now, "other", call(1)))); got != 0 {
		t.Errorf("got %d permits after the takeover from a host without runs, want none", got)
	}
	s.Withdraw(now, "other", Withdrawal{ID: 1})
	s.TakeOver(now, "host", Takeover{Running: []Running{{Registration: call(2), Endpoint: "plain-0", Elapsed: time.Second}}})
	if got := len(permits(s.Register(now, "host", call(3)))); got != 1 {
		t.Errorf("got %d permits, want the slot of the request that ended", got)
	}
	if got := len(permits(s.Register(now, "host", call(4)))); got != 0 {
		t.Errorf("got %d permits, want none while the listed run continues", got)
	}
}

// Guards against a slot that stays occupied when the report of a run's end is
// lost because its host changes its owner at that moment. The slot is free once
// the caller's deadline has passed.
func TestRunWithLostEndReportFreesSlotAfterDeadline(t *testing.T) {
	s := newEngineScheduler(0, 1)
	s.SetCatalog(start, s.index, listed("plain", 1, 1))
	call := Registration{ID: 1, Service: "plain", RemainingTime: 1500 * time.Millisecond, RemainingObjective: time.Second, EffectiveObjective: time.Second}
	if got := permits(s.Register(start, "host", call)); len(got) != 1 {
		t.Fatalf("got %d permits, want 1", len(got))
	}
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{call.RemainingTime, 0}, {call.RemainingTime + 2*endReportGrace, 1}} {
		now := start.Add(c.after)
		s.Tick(now)
		call.ID++
		if got := permits(s.Register(now, "other", call)); len(got) != c.want {
			t.Errorf("%v after the permit: got %d permits for another request, want %d", c.after, len(got), c.want)
		}
		s.Withdraw(now, "other", Withdrawal{ID: call.ID})
	}
}
