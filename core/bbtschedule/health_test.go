package bbtschedule

import (
	"testing"
	"time"
)

// failingLoad is a load on four engines of which some fail a fraction of their
// requests.
type failingLoad struct {
	*load
	failed, finished map[string]int
}

// newFailingLoad returns a load in which each endpoint fails the given fraction
// of its requests, after failureDelay.
func newFailingLoad(failureDelay time.Duration, failureRates map[string]float64) *failingLoad {
	l := &failingLoad{newLoad(newEngineScheduler(4, 10), 1), make(map[string]int), make(map[string]int)}
	l.failureDelay = failureDelay
	l.fails = func(_ time.Time, endpoint string) bool {
		if l.rng.Float64() < failureRates[endpoint] {
			l.failed[endpoint]++
			return true
		}
		l.finished[endpoint]++
		return false
	}
	return l
}

// runSteady runs a load with a constant mean rate and returns how many requests
// were refused.
func (l *failingLoad) runSteady(until time.Duration, perSecond float64) (refused int) {
	l.addCallers(0, until, perSecond, func(i int) Registration { return stream(i, 1) })
	l.run(until)
	for _, c := range l.callers {
		refused += c.refusals
	}
	return refused
}

// Guards against an engine that quickly answers every request with an error,
// and attracts requests since it always has free slots.
func TestAlwaysFailingEngineGetsFewRequests(t *testing.T) {
	const until = 10 * time.Second
	for _, failureDelay := range []time.Duration{5 * time.Millisecond, 300 * time.Millisecond} {
		l := newFailingLoad(failureDelay, map[string]float64{"model-0": 1})
		l.runSteady(until, 25)
		// It takes four failures to detect the engine, besides the requests sent
		// until the fourth has ended. Then it gets one request at a time, each
		// after a pause: at most three pauses are shorter than maxPause (250 ms,
		// 500 ms and 1 s).
		atFirst := 4 + int(25*failureDelay.Seconds())
		if got, most := l.failed["model-0"], atFirst+3+int(until/maxPause); got > most || got < 4 {
			t.Errorf("failures after %v: got %d requests failed in %v, want 4 to %d", failureDelay, got, until, most)
		}
	}
}

// Guards against an engine that fails a third of its requests, sometimes
// several in a row, and gets as many requests as the others.
func TestPartlyFailingEngineGetsFewerRequests(t *testing.T) {
	l := newFailingLoad(40*time.Millisecond, map[string]float64{"model-0": 0.35})
	l.runSteady(20*time.Second, 15)
	failing := l.failed["model-0"] + l.finished["model-0"]
	others := l.finished["model-1"] + l.finished["model-2"] + l.finished["model-3"]
	if others < 3*failing*3/2 {
		t.Errorf("got %d requests at the failing engine and %d at the three others, want at least 1.5 times as many at each of them", failing, others)
	}
}

// Guards against pausing endpoints when requests fail at all of them, so that
// no endpoint is the cause.
func TestFailuresAtAllEnginesPauseNone(t *testing.T) {
	l := newFailingLoad(40*time.Millisecond, map[string]float64{"model-0": 0.45, "model-1": 0.45, "model-2": 0.45, "model-3": 0.45})
	if got := l.runSteady(10*time.Second, 50); got > 0 {
		t.Errorf("got %d requests refused at about three quarters of the capacity, want none", got)
	}
}

// Guards against an engine that has recovered but gets no requests for more than
// a few seconds, under a load that needs all engines.
func TestRecoveredEngineIsUsedAgain(t *testing.T) {
	failureRates := map[string]float64{"model-0": 1}
	l := newLoad(newEngineScheduler(4, 10), 1)
	successes := 0
	l.fails = func(now time.Time, endpoint string) bool {
		if now.After(start.Add(5*time.Second)) && endpoint == "model-0" {
			successes++
			return false
		}
		return failureRates[endpoint] == 1
	}
	l.addCallers(0, 15*time.Second, 32, func(i int) Registration { return stream(i, 1) })
	l.run(15 * time.Second)
	if got, want := successes, 40; got < want {
		t.Errorf("got %d requests at the engine in the 10 s since its recovery, want at least %d", got, want)
	}
}
