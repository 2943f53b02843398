package bbtschedule

import "time"

const (
	// callerPatience is the part of the time that a caller has left, as a
	// divisor, up to which it waits as told (platform: answers).
	callerPatience = 3
	minReturn      = 100 * time.Millisecond
	returnSpread   = 0.5 // of the longest wait that callers accept, over which they are spread
	spreadSteps    = 1024
	returnLife     = 10 * time.Second
	mostReturns    = 8192
)

// returns spreads the callers that were refused over the time to come, and
// knows them when they come back.
type returns struct {
	awaited map[uint64]time.Time // by fingerprint, until when
}

func newReturns() returns { return returns{awaited: make(map[uint64]time.Time)} }

// schedule returns after what time a refused caller is to come again. An
// overload outlasts a caller's patience more often than not, so callers come
// late in it, spread by their fingerprints.
func (t *returns) schedule(now time.Time, r Registration) time.Duration {
	t.expect(now, r.Fingerprint)
	most := float64(r.RemainingTime) / callerPatience
	part := float64(r.Fingerprint%spreadSteps) / spreadSteps
	return max(minReturn, time.Duration(most*(1-returnSpread*part)))
}

// expect remembers a refused request.
func (t *returns) expect(now time.Time, fp uint64) {
	if fp == 0 {
		return
	}
	if len(t.awaited) >= mostReturns {
		for p, until := range t.awaited {
			if now.After(until) {
				delete(t.awaited, p)
			}
		}
	}
	if len(t.awaited) < mostReturns {
		t.awaited[fp] = now.Add(returnLife)
	}
}

// back reports whether the request was refused before.
func (t *returns) back(now time.Time, fp uint64) bool {
	until, ok := t.awaited[fp]
	delete(t.awaited, fp)
	return ok && now.Before(until)
}
