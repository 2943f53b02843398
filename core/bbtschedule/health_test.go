package bbtschedule

import (
	"testing"
	"time"
)

// illness is a load on four engines of which some fail a share of their
// requests.
type illness struct {
	*load
	failed, finished map[string]int
}

// newIllness returns the load; share is that of the failures by endpoint.
func newIllness(failsIn time.Duration, share map[string]float64) *illness {
	l := &illness{newLoad(newFleet(4, 10), 1), make(map[string]int), make(map[string]int)}
	l.failsIn = failsIn
	l.fails = func(_ time.Time, endpoint string) bool {
		if l.rng.Float64() < share[endpoint] {
			l.failed[endpoint]++
			return true
		}
		l.finished[endpoint]++
		return false
	}
	return l
}

// play sends a load for a while and returns how many requests were refused.
func (l *illness) play(until time.Duration, perSecond float64) (refused int) {
	l.steady(0, until, perSecond, func(i int) Registration { return stream(i, 1) })
	l.run(until)
	for _, c := range l.callers {
		refused += c.refuse
	}
	return refused
}

// Pattern: an engine is ill and answers each request with a failure soon, so that
// it is always the one with room.
func TestEngineThatFailsDrawsNoRequests(t *testing.T) {
	const until = 10 * time.Second
	for _, failsIn := range []time.Duration{5 * time.Millisecond, 300 * time.Millisecond} {
		l := newIllness(failsIn, map[string]float64{"model-0": 1})
		l.play(until, 25)
		// Four show it, with what was sent until the fourth one ended; then it gets one
		// at a time, each after a longer pause.
		atFirst := 4 + int(25*failsIn.Seconds())
		if got, most := l.failed["model-0"], atFirst+3+int(until/maxPause); got > most || got < 4 {
			t.Errorf("failures after %v: got %d requests failed in %v, want 4 to %d", failsIn, got, until, most)
		}
	}
}

// Pattern: an engine fails a third of its requests, and now and then several in a
// row. It gets fewer than others.
func TestEngineThatFailsInPartGetsLess(t *testing.T) {
	l := newIllness(40*time.Millisecond, map[string]float64{"model-0": 0.35})
	l.play(20*time.Second, 15)
	ill := l.failed["model-0"] + l.finished["model-0"]
	others := l.finished["model-1"] + l.finished["model-2"] + l.finished["model-3"]
	if others < 3*ill*3/2 {
		t.Errorf("got %d requests at the ill engine, %d at the three others, want half as many again each at least", ill, others)
	}
}

// Pattern: requests fail wherever they go. No endpoint is to blame, and all are
// used.
func TestFailuresEverywhereCloseNoEngine(t *testing.T) {
	l := newIllness(40*time.Millisecond, map[string]float64{"model-0": 0.45, "model-1": 0.45, "model-2": 0.45, "model-3": 0.45})
	if got := l.play(10*time.Second, 50); got > 0 {
		t.Errorf("got %d requests refused at two thirds of the load that the engines bear, want none", got)
	}
}

// Pattern: an ill engine is well again under a load that needs all engines. Its
// share comes back within seconds.
func TestEngineThatIsWellAgainIsUsed(t *testing.T) {
	share := map[string]float64{"model-0": 1}
	l := newLoad(newFleet(4, 10), 1)
	well := 0
	l.fails = func(now time.Time, endpoint string) bool {
		if now.After(start.Add(5*time.Second)) && endpoint == "model-0" {
			well++
			return false
		}
		return share[endpoint] == 1
	}
	l.steady(0, 15*time.Second, 32, func(i int) Registration { return stream(i, 1) })
	l.run(15 * time.Second)
	if got, want := well, 40; got < want {
		t.Errorf("got %d requests at the engine in the 10 s since it is well, want at least %d", got, want)
	}
}
