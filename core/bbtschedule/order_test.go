package bbtschedule

import (
	"testing"
	"time"
)

// bestOfAll returns the shortest predicted time to completion over all endpoints
// that fit the request.
func bestOfAll(now time.Time, sv *service, w *waiter) (float64, bool) {
	best, found := 0.0, false
	f := w.fitness(now)
	for _, e := range sv.endpoints {
		if !e.hasRoom(now) {
			continue
		}
		o := e.outlook(now)
		if total, ok := f.cost(&o); ok && (!found || total < best) {
			best, found = total, true
		}
	}
	return best, found
}

// Holds the choice among candidates against the choice among all endpoints: it is
// the same in a small service, and in a large one it is hardly worse.
func TestChoiceAmongCandidatesIsAsGoodAsAmongAll(t *testing.T) {
	for _, test := range []struct {
		engines   int
		maxExcess float64 // of the time to completion, on average
	}{{8, 0}, {exactEndpoints, 0}, {163, 0.002}, {600, 0.002}} {
		f := newBenchFleet(test.engines, 0)
		sv := f.s.services["model"]
		for i, e := range sv.endpoints { // engines of unlike speed
			e.prefill = estimate{value: []float64{0.006, 0.009, 0.027}[i%3], known: true}
			e.gap = estimate{value: []float64{20, 30, 90}[i%3], known: true}
		}
		chosen, best := 0.0, 0.0
		const requests = 500
		for i := range requests {
			f.request()
			if i%20 == 0 { // unlike backlogs
				for _, e := range sv.endpoints {
					e.prefillDoneAt = f.now.Add(time.Duration(f.rng.IntN(300)) * time.Millisecond)
				}
				sv.order.refreshedAt = time.Time{}
			}
			r := f.registration()
			w := newWaiter(f.now, key{"host", r.ID}, r, false)
			sv.refresh(f.now)
			e := sv.choose(f.now, w)
			want, fits := bestOfAll(f.now, sv, w)
			if (e != nil) != fits {
				t.Fatalf("%d engines, request %d: got an endpoint %t, want %t", test.engines, i, e != nil, fits)
			}
			if e == nil {
				continue
			}
			ft, o := w.fitness(f.now), e.outlook(f.now)
			got, _ := ft.cost(&o)
			chosen, best = chosen+got, best+want
		}
		if excess := chosen/best - 1; excess > test.maxExcess {
			t.Errorf("%d engines: got a time to completion %.4f longer than the shortest, want at most %.4f", test.engines, excess, test.maxExcess)
		}
	}
}

// Guards against decisions whose cost grows with the number of endpoints.
func TestCandidatesDoNotGrowWithTheService(t *testing.T) {
	f := newBenchFleet(600, 0)
	sv := f.s.services["model"]
	r := f.registration()
	got := 0
	sv.forEachCandidate(start, newWaiter(start, key{}, r, false), func(*endpoint) { got++ })
	if want := ownZoneCandidates + 5*zoneCandidates + maxHolders; got > want {
		t.Errorf("got %d candidates of 600 engines in 6 zones, want at most %d", got, want)
	}
}

// Guards against reading a long prompt again at another engine, because the engine
// that holds it has a short backlog and many others have none.
func TestRepeatedPromptGoesToItsEngineInALargeService(t *testing.T) {
	s := newEngineScheduler(300, 9)
	holder := s.byID["model-150"]
	prompt := stream(1, 0)
	prompt.PromptTokens, prompt.PromptBlocks = 6000, []PromptBlock{{7, 6000}}
	holder.startRun(start, &run{key: key{"host", 1}, reg: prompt, endpoint: holder, granted: start})
	now := start.Add(100 * time.Millisecond)
	holder.startRun(now, &run{key: key{"host", 2}, reg: stream(2, 0), endpoint: holder, granted: now})
	prompt.ID = 3
	prompt.RemainingObjective, prompt.EffectiveObjective = time.Second, time.Second
	if got := permits(s.Register(now, "host", prompt))[3]; got.Endpoint != "model-150" {
		t.Errorf("got engine %q, want model-150, which holds the prompt", got.Endpoint)
	}
}
