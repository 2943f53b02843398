package bbtschedule

import (
	"testing"
	"time"

	"bluebelltray/core/bbtverdict"
)

// newSingleScheduler returns a scheduler with one plain endpoint.
func newSingleScheduler(slots int) *Scheduler {
	s := newEngineScheduler(0, 1)
	s.SetCatalog(start, s.index, listed("plain", 1, slots))
	return s
}

// call returns the registration of a plain call of the account salons.
func call(id RequestID) Registration {
	return Registration{ID: id, Service: "plain", Account: "salons", Cost: 100, RemainingTime: 10 * time.Second, RemainingObjective: 3 * time.Second, EffectiveObjective: 3 * time.Second}
}

// used returns what the account salons has used of its limit.
func used(s *Scheduler, now time.Time) float64 {
	sum := 0.0
	for _, d := range s.Deficits(now) {
		sum += d.Units
	}
	return sum
}

// Guards against a request that loses its place in the queue, or is charged twice,
// since its host registers it again for want of a reply.
func TestRegistrationThatArrivesTwiceKeepsItsPlace(t *testing.T) {
	s := newSingleScheduler(1)
	for id := RequestID(1); id <= 3; id++ {
		s.Register(start, "host", call(id))
	}
	before := used(s, start)
	if got := s.Register(start, "host", call(2)); len(got) != 0 {
		t.Errorf("got %v, want no reply while the request waits", got)
	}
	if again, unknown := s.Pending(start, "host", []Pending{{ID: 2}, {ID: 3}, {ID: 4}}); len(again) != 0 || len(unknown) != 1 || unknown[0].ID != 4 {
		t.Errorf("got replies %v and %v unknown, want none and request 4", again, unknown)
	}
	if got := used(s, start); got != before {
		t.Errorf("got %v charged, want %v as before", got, before)
	}
	if got := permits(s.Done(start, "host", Done{ID: 1})); len(got) != 1 || got[2].Endpoint == "" {
		t.Errorf("got permits %v, want that of request 2", got)
	}
}

// Guards against a slot and a charge that stay until the caller's deadline since a
// permit was lost and its request ended meanwhile.
func TestWithdrawnRequestReturnsItsLostPermit(t *testing.T) {
	s := newSingleScheduler(1)
	s.Register(start, "host", call(1)) // the permit is lost
	s.Register(start, "host", call(2))
	if got := permits(s.Withdraw(start, "host", Withdrawal{ID: 1})); len(got) != 1 || got[2].Endpoint == "" {
		t.Errorf("got permits %v, want the slot given to request 2", got)
	}
	if got := used(s, start); got != 100 {
		t.Errorf("got %v charged, want 100 for the request that runs", got)
	}
	if got := s.Register(start, "host", call(1)); len(got) != 0 || s.HasWaiting() {
		t.Errorf("got %v and a request that waits, want a late registration ignored", got)
	}
}

// Guards against a request that is decided anew since its refusal was lost: it would
// count as another request.
func TestLostRefusalIsSentAgain(t *testing.T) {
	s := newSingleScheduler(1)
	refused := call(1)
	refused.RemainingObjective = -time.Second
	s.Register(start, "host", call(2))
	first := refusals(s.Register(start, "host", refused))[1]
	if first.Reason != string(bbtverdict.ReasonPoolFull) || first.RetryAfter <= time.Second {
		t.Fatalf("got %+v, want a refusal with a delay", first)
	}
	budget := s.Status(start)[0].RetriesLeft
	now := start.Add(500 * time.Millisecond)
	again, unknown := s.Pending(now, "host", []Pending{{ID: 1}})
	second := refusals(again)[1]
	if len(unknown) != 0 || second.Reason != first.Reason || second.RetryAfter != first.RetryAfter-500*time.Millisecond {
		t.Errorf("got %+v and %v unknown, want %+v with the rest of its delay", second, unknown, first)
	}
	if got := s.Status(now)[0].RetriesLeft; got != budget {
		t.Errorf("got %v retries left, want %v as before", got, budget)
	}
}

// Guards against requests that are charged and counted twice since their owner took
// their host for dead for a moment.
func TestRequestsOfAHostTakenForDeadAreCountedOnce(t *testing.T) {
	s := newSingleScheduler(1)
	for id := RequestID(1); id <= 2; id++ {
		s.Register(start, "host", call(id))
	}
	charged, budget := used(s, start), s.Status(start)[0].RetriesLeft
	s.RemoveHost(start, "host")
	list := []Pending{{ID: 1}, {ID: 2}}
	if _, unknown := s.Pending(start, "host", list); len(unknown) != 2 {
		t.Fatalf("got %v unknown, want both", unknown)
	}
	if got := permits(s.Register(start, "host", call(1))); len(got) != 1 {
		t.Errorf("got permits %v, want one", got)
	}
	s.Register(start, "host", call(2))
	if got := used(s, start); got != charged {
		t.Errorf("got %v charged, want %v as before", got, charged)
	}
	if got := s.Status(start)[0].RetriesLeft; got != budget {
		t.Errorf("got %v retries left, want %v as before", got, budget)
	}
}

// Guards against a second permit for a request whose first one is on its way while its
// host tells what runs: the one that is not used would be returned, and the other one's
// request would hold no slot.
func TestTakeoverKeepsPermitsOnTheirWay(t *testing.T) {
	for _, c := range []struct {
		name     string
		after    time.Duration
		takeover Takeover
		want     int
	}{
		{"just granted", permitFlight - 1, Takeover{Last: 9}, 1},
		{"granted before", permitFlight, Takeover{Last: 9}, 0},
		{"registered after the message was sent", permitFlight, Takeover{Last: 8}, 1},
		{"repeated message", permitFlight, Takeover{Last: 9, Again: true}, 1},
	} {
		s := newSingleScheduler(2)
		s.Register(start, "host", call(9))
		charged, now := used(s, start), start.Add(c.after)
		s.TakeOver(now, "host", c.takeover)
		if got := s.Status(now)[0].Running(); got != c.want {
			t.Errorf("%s: got %d requests at the endpoints, want %d", c.name, got, c.want)
		}
		if got := permits(s.Register(now, "host", call(9))); len(got) != 1 {
			t.Errorf("%s: got permits %v, want one", c.name, got)
		}
		if got := used(s, now); got > charged {
			t.Errorf("%s: got %v charged, want %v as before", c.name, got, charged)
		}
	}
}

// Guards against usage that counts twice since a host repeats what an owner knows.
func TestRepeatedTakeoverAddsNoUsage(t *testing.T) {
	s := newSingleScheduler(2)
	usage := []Usage{{Account: "salons", Amount: 100}}
	for range 2 {
		if got, want := s.Lacks("host") == LacksNothing, used(s, start) > 0; got != want {
			t.Errorf("got %v lacking, want nothing once a Takeover has arrived, everything before", s.Lacks("host"))
		}
		s.TakeOver(start, "host", Takeover{AccountUsage: usage, Again: true})
	}
	if got := used(s, start); got != 100 {
		t.Errorf("got %v used, want 100", got)
	}
}

// Guards against a registration of an earlier attempt that arrives after the owner has
// dropped the host's dispatches, and would wait and be charged as another request.
func TestLateRegistrationOfADroppedRequestIsIgnored(t *testing.T) {
	s := newSingleScheduler(2)
	s.Register(start, "host", call(1))
	s.Done(start, "host", Done{ID: 1, Outcome: Unreachable})
	second := call(1)
	second.Attempt = 1
	now := start.Add(time.Second) // the endpoint is paused after its failure
	s.Register(now, "host", second)
	s.RemoveHost(now, "host")
	before := used(s, now)
	if got := s.Register(now, "host", call(1)); len(got) != 0 || s.HasWaiting() || used(s, now) != before {
		t.Errorf("got %v, waiting %t and %v charged, want it ignored", got, s.HasWaiting(), used(s, now)-before)
	}
}
