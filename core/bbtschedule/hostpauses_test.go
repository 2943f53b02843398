package bbtschedule

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtfleet"
)

// pauseEvent is an event of a pauseFleet.
type pauseEvent struct {
	at time.Time
	do func(now time.Time)
}

// pauseEvents is a heap of events by time.
type pauseEvents []pauseEvent

func (h pauseEvents) Len() int           { return len(h) }
func (h pauseEvents) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h pauseEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *pauseEvents) Push(x any)        { *h = append(*h, x.(pauseEvent)) }
func (h *pauseEvents) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// pauseFleet is a model of hosts that send calls of 0.1 s to eight endpoints with ten
// slots each. Two endpoints reject the requests of some hosts for eight seconds, and ask
// each for a pause of a second. Hosts keep to their pauses.
type pauseFleet struct {
	s       *Scheduler
	rng     *rand.Rand
	events  pauseEvents
	hosts   int
	paused  int // hosts that are rejected
	waiting map[key]Registration
	until   map[string]time.Time // ends of pauses, by host and endpoint

	offered, served, rejected int
}

// newPauseFleet returns a fleet whose requests would fill a part of all slots.
func newPauseFleet(hosts, paused int, load float64, seed uint64) *pauseFleet {
	f := &pauseFleet{
		s: New(bounds()), rng: rand.New(rand.NewPCG(seed, 1)), hosts: hosts, paused: paused,
		waiting: make(map[key]Registration), until: make(map[string]time.Time),
	}
	f.s.SetCatalog(start, bbtcatalog.NewIndex(testConfig(4)), listed("plain", 8, 10))
	for t := 0.0; t < 14; t += f.rng.ExpFloat64() / (800 * load) {
		r := plainCall(f.offered)
		r.Account, r.Fingerprint = "", uint64(f.offered+1)
		r.RemainingTime, r.RemainingObjective, r.EffectiveObjective = 2*time.Second, 300*time.Millisecond, 300*time.Millisecond
		k := key{hostName(f.rng.IntN(hosts)), r.ID}
		f.offered++
		f.at(start.Add(time.Duration(t*float64(time.Second))), func(now time.Time) { f.register(now, k, r) })
	}
	for i := range 1500 {
		f.at(start.Add(time.Duration(i)*10*time.Millisecond), func(now time.Time) { f.apply(now, f.s.Tick(now)) })
	}
	return f
}

func hostName(n int) bbtfleet.HostID { return bbtfleet.HostID(fmt.Sprintf("host-%03d", n)) }

// at adds an event.
func (f *pauseFleet) at(t time.Time, do func(now time.Time)) { heap.Push(&f.events, pauseEvent{t, do}) }

// run runs all events.
func (f *pauseFleet) run() {
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(pauseEvent)
		e.do(e.at)
	}
}

// register asks for a permit.
func (f *pauseFleet) register(now time.Time, k key, r Registration) {
	f.waiting[k] = r
	f.apply(now, f.s.Register(now, k.host, r))
}

// apply carries out the permits among actions. Refused requests do not come again.
func (f *pauseFleet) apply(now time.Time, actions []Action) {
	for _, a := range actions {
		if p, ok := a.Message.(Permit); ok {
			f.dispatch(now, key{a.To, p.ID}, p)
		}
	}
}

// dispatch sends a request to its endpoint, or returns the permit.
func (f *pauseFleet) dispatch(now time.Time, k key, p Permit) {
	r, gate := f.waiting[k], string(k.host)+p.Endpoint
	if left := f.until[gate].Sub(now); left > 0 {
		f.apply(now, f.s.Done(now, k.host, Done{ID: p.ID, Attempt: p.Attempt, Outcome: Unused, Pause: Pause{p.Incarnation(), left}}))
		f.register(now, k, r)
		return
	}
	elapsed := now.Sub(start)
	if (p.Endpoint == "plain-0" || p.Endpoint == "plain-1") && elapsed > 4*time.Second && elapsed < 12*time.Second && k.host < hostName(f.paused) {
		f.at(now.Add(2*time.Millisecond), func(now time.Time) {
			f.rejected++
			f.until[gate] = now.Add(time.Second)
			f.apply(now, f.s.Done(now, k.host, Done{ID: p.ID, Attempt: p.Attempt, Outcome: Rejected, Pause: Pause{p.Incarnation(), time.Second}}))
			r.Attempt, r.Retry, r.Exclude = r.Attempt+1, true, append(r.Exclude, p.Endpoint)
			f.register(now, k, r)
		})
		return
	}
	f.at(now.Add(time.Duration(80+f.rng.IntN(40))*time.Millisecond), func(now time.Time) {
		f.served++
		f.apply(now, f.s.Done(now, k.host, Done{ID: p.ID, Attempt: p.Attempt, Outcome: Finished}))
	})
}

// Guards against requests that each host has rejected in turn by an endpoint that is too
// busy for all, which uses up their attempts and the retry budget, and against requests
// that are refused, since an endpoint that is busy for a few hosts is kept from all.
func TestPausesAreSharedOnlyWhenAllHostsAreTold(t *testing.T) {
	for _, test := range []struct {
		hosts, paused int
		load          float64
		mostRejected  float64 // of the requests offered
		leastServed   float64
	}{
		{100, 100, 0.9, 0.025, 0.88}, {100, 100, 0.6, 0.025, 1}, {8, 8, 0.9, 0.025, 0.88},
		{100, 12, 0.9, 0.025, 1}, {8, 1, 0.9, 0.025, 1},
	} {
		for seed := range uint64(3) {
			f := newPauseFleet(test.hosts, test.paused, test.load, seed)
			f.run()
			rejected, served := float64(f.rejected)/float64(f.offered), float64(f.served)/float64(f.offered)
			if rejected > test.mostRejected || served < test.leastServed {
				t.Errorf("%d of %d hosts paused, load %.1f, seed %d: got %.4f of %d requests rejected and %.4f served, want at most %.4f and at least %.4f",
					test.paused, test.hosts, test.load, seed, rejected, f.offered, served, test.mostRejected, test.leastServed)
			}
		}
	}
}

// Guards against an endpoint that is kept from a host which it has told nothing, after
// the first of the hosts that were told may send requests again, or after it has taken a
// request.
func TestSharedPauseEnds(t *testing.T) {
	told := func() *Scheduler {
		s := newTwoEndpoints()
		for i := range hostsToPauseAll {
			s.TakeOver(start, hostName(i), Takeover{Pauses: []Pause{pauseOf(0, time.Duration(i+1)*time.Second)}})
		}
		return s
	}
	s := told()
	e := s.byID["plain-0"]
	if !e.pausesHost(start, "other") || !e.pausesHost(start.Add(999*time.Millisecond), "other") {
		t.Error("got another host's requests sent, want them kept from the endpoint")
	}
	if e.pausesHost(start.Add(time.Second), "other") || !e.pausesHost(start.Add(time.Second), hostName(1)) {
		t.Error("got another host kept, or one that was told not, want another to send again after the first pause")
	}
	s = newTwoEndpoints()
	e = s.byID["plain-0"]
	r := plainCall(1)
	r.Exclude = []string{"plain-1"}
	s.TakeOver(start, hostName(0), Takeover{Pauses: []Pause{pauseOf(0, time.Second)}})
	s.TakeOver(start, hostName(1), Takeover{Pauses: []Pause{pauseOf(0, time.Second)}})
	now := start.Add(10 * time.Millisecond)
	s.Register(now, "other", r)
	s.Done(now.Add(10*time.Millisecond), "other", Done{ID: 1, Outcome: Finished})
	s.TakeOver(now.Add(20*time.Millisecond), hostName(2), Takeover{Pauses: []Pause{pauseOf(0, time.Second)}})
	if e.pausesHost(now.Add(20*time.Millisecond), "other") {
		t.Error("got another host kept from an endpoint that has just taken its request")
	}
	if !e.pausesHost(now.Add(20*time.Millisecond), hostName(1)) {
		t.Error("got a host that was told to pause not kept, want it kept")
	}
}
