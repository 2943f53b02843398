package bbtschedule

import "time"

const (
	// callerPatience is the part of the time that a caller has left, as a
	// divisor, up to which it waits as told (platform: answers).
	callerPatience = 3
	minReturn      = 100 * time.Millisecond
	returnPart     = 0.5 // of a service's rate that is kept for callers that come back
	returnLife     = 10 * time.Second
	mostReturns    = 8192
)

// returns spreads the callers that were refused over the time to come, and
// knows them when they come back.
type returns struct {
	next    map[*service]time.Time
	awaited map[uint64]time.Time // by fingerprint, until when
}

func newReturns() returns {
	return returns{next: make(map[*service]time.Time), awaited: make(map[uint64]time.Time)}
}

// schedule returns after what time a refused caller is to come again.
func (t *returns) schedule(now time.Time, sv *service, w *waiter) time.Duration {
	t.expect(now, w.reg.Print)
	at := t.next[sv]
	if least := now.Add(minReturn); at.Before(least) {
		at = least
	}
	most := w.expires.Sub(now) / callerPatience
	if at.Sub(now) > most {
		return max(most, 0)
	}
	t.next[sv] = at.Add(time.Duration(float64(time.Second) / (returnPart * sv.perSecond(now))))
	return at.Sub(now)
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
