package bbtschedule

import (
	"math"
	"testing"
	"time"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtfleet"
)

// pauseOf returns a pause of endpoint plain-n.
func pauseOf(n int, remaining time.Duration) Pause {
	return Pause{Incarnation: incarnationOf(listed("plain", 2, 100)[n].Endpoint), Remaining: remaining}
}

// register registers a call of a host that waits for at most a second.
func register(s *Scheduler, now time.Time, host bbtfleet.HostID, id int) []Action {
	r := plainCall(id)
	r.Cost = 1
	return s.Register(now, host, r)
}

// Guards against an owner that goes on to place requests of a host at an endpoint that
// wants none from it, and against requests of other hosts that are kept from it.
func TestPausedEndpointGetsNoPermitsForTheHost(t *testing.T) {
	for name, report := range map[string]func(s *Scheduler, p Pause){
		"end":                   func(s *Scheduler, p Pause) { s.Done(start, "host", Done{ID: 0, Outcome: Rejected, Pause: p}) },
		"end of an unknown run": func(s *Scheduler, p Pause) { s.Done(start, "host", Done{ID: 9, Outcome: Unused, Pause: p}) },
		"takeover":              func(s *Scheduler, p Pause) { s.TakeOver(start, "host", Takeover{Pauses: []Pause{p}}) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newTwoEndpoints()
			register(s, start, "host", 0)
			report(s, pauseOf(0, 2*time.Second))
			last := 100
			sent := func(at time.Duration, host bbtfleet.HostID) map[string]int {
				out := make(map[string]int)
				for range 20 {
					last++
					for id, p := range permits(register(s, start.Add(at), host, last)) {
						out[p.Endpoint]++
						defer s.Done(start.Add(at+20*time.Millisecond), host, Done{ID: id, Outcome: Finished})
					}
				}
				return out
			}
			if got := sent(100*time.Millisecond, "host"); got["plain-0"] != 0 || got["plain-1"] != 20 {
				t.Errorf("got %v, want all at plain-1", got)
			}
			if got := s.Status(start.Add(100 * time.Millisecond))[0].Endpoints[0].PausedHosts; got != 1 {
				t.Errorf("got %d hosts paused, want 1", got)
			}
			if got := sent(200*time.Millisecond, "other"); got["plain-0"] == 0 {
				t.Errorf("got %v for another host, want some at plain-0", got)
			}
			if got := sent(2100*time.Millisecond, "host"); got["plain-0"] == 0 {
				t.Errorf("got %v after the end, want some at plain-0", got)
			}
		})
	}
}

// Guards against a pause that outlives its endpoint, or comes late from an earlier one.
func TestPauseEndsWithTheIncarnation(t *testing.T) {
	s := newTwoEndpoints()
	next := listed("plain", 2, 100)
	next[0].Endpoint.StartTimeMS = 7
	s.TakeOver(start, "host", Takeover{Pauses: []Pause{pauseOf(0, time.Minute)}})
	s.SetCatalog(start, s.index, next)
	if s.byID["plain-0"].pausesHost(start, "host") {
		t.Error("got the new incarnation paused, want it open")
	}
	s.TakeOver(start, "host", Takeover{Pauses: []Pause{pauseOf(0, time.Minute)}})
	if s.byID["plain-0"].pausesHost(start, "host") {
		t.Error("got the new incarnation paused by a late report on the former one, want it open")
	}
}

// Guards against a request that waits in vain, and is refused late, since all endpoints
// want no requests from its host for longer than it may wait.
func TestRequestThatWouldWaitForPausesIsRefusedEarly(t *testing.T) {
	for _, test := range []struct {
		pause   time.Duration
		refused bool
	}{{50 * time.Millisecond, false}, {5 * time.Second, true}} {
		s := newTwoEndpoints()
		s.TakeOver(start, "host", Takeover{Pauses: []Pause{pauseOf(0, test.pause), pauseOf(1, test.pause+time.Second)}})
		got := register(s, start, "host", 1)
		if r, ok := refusals(got)[1]; ok != test.refused || ok && r.Wait < test.pause {
			t.Errorf("pause of %v: got %+v, want refused %t with a wait of that long", test.pause, got, test.refused)
		}
		if got := permits(register(s, start, "other", 1)); len(got) != 1 {
			t.Errorf("pause of %v: got %d permits for another host, want 1", test.pause, len(got))
		}
	}
}

// Guards against requests that go on to wait as the last endpoint says that it wants no
// requests from their host.
func TestWaitingRequestsAreRefusedWhenPausesBegin(t *testing.T) {
	s := New(bounds())
	s.SetCatalog(start, bbtcatalog.NewIndex(testConfig(4)), listed("plain", 1, 8))
	for i := range 8 {
		register(s, start, "host", 100+i)
	}
	register(s, start, "host", 2)
	register(s, start, "other", 3)
	if got := s.services["plain"].queue.Len(); got != 2 {
		t.Fatalf("got %d requests waiting, want 2", got)
	}
	got := s.Done(start, "host", Done{ID: 100, Outcome: Failed, Pause: pauseOf(0, 5*time.Second)})
	if len(refusals(got)) != 1 || refusals(got)[2].Reason == "" || refusals(got)[2].RetryAfter > time.Second/retryAfterDivisor {
		t.Errorf("got %+v, want the host's request refused with the scheduler's own time to retry", got)
	}
	if p := permits(got); p[3].Endpoint != "plain-0" {
		t.Errorf("got %+v, want the other host's request at the endpoint", p)
	}
}

// Guards against a share of the slots that is taken for all of them, while some endpoints
// want no requests from a host.
func TestPausesCountInTheExpectedWait(t *testing.T) {
	s := newTwoEndpoints()
	sv := s.services["plain"]
	w := newWaiter(start, key{"host", 1}, plainCall(1), false)
	sv.enqueue(start, w)
	_, before := sv.queuePosition(start, w)
	s.TakeOver(start, "host", Takeover{Pauses: []Pause{pauseOf(0, time.Second)}})
	if _, got := sv.queuePosition(start, w); got != 2*before {
		t.Errorf("got an expected wait of %v with half of the slots, want %v", got, 2*before)
	}
	if _, got := sv.queuePosition(start.Add(time.Second), w); got != before {
		t.Errorf("got an expected wait of %v after the end, want %v", got, before)
	}
}

// Guards against a pause of a faulty peer that never ends.
func TestPauseOfAFaultyPeerIsBounded(t *testing.T) {
	for _, remaining := range []time.Duration{math.MaxInt64, math.MinInt64, 0, -1} {
		s := newTwoEndpoints()
		s.TakeOver(start, "host", Takeover{Pauses: []Pause{pauseOf(0, remaining), {Remaining: remaining}}})
		if e := s.byID["plain-0"]; e.pausesHost(start.Add(MaxPause), "host") || e.pausesHost(start, "host") != (remaining > 0) {
			t.Errorf("%v: got the endpoint paused %t, and %t after %v", remaining, e.pausesHost(start, "host"), e.pausesHost(start.Add(MaxPause), "host"), MaxPause)
		}
	}
}
