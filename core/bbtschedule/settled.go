package bbtschedule

import "time"

const (
	// settledPeriod is for how long, at least, a scheduler remembers how an attempt was
	// settled. Within it a host asks again for a reply that was lost.
	settledPeriod = 2 * time.Second
	maxSettled    = 1 << 14 // attempts remembered per settledPeriod
	allAttempts   = 1 << 30 // the attempt of a request that has ended
)

// settlement is how an attempt of a request left the queue and the endpoints.
type settlement struct {
	attempt   int
	at        time.Time
	refusal   *Refusal // nil if it was not refused
	forgotten bool     // dropped with its host, so it may be registered again
	charged   bool     // its account was charged and got no refund
}

// settled remembers the attempts that were settled lately, so that messages which
// arrive late, twice or again for want of a reply have no second effect. It keeps two
// generations of at most maxSettled attempts.
type settled struct {
	current, previous map[key]settlement
	began             time.Time // of the current generation
}

// put records how an attempt was settled.
func (t *settled) put(now time.Time, k key, s settlement) {
	if t.current == nil || now.Sub(t.began) >= settledPeriod || len(t.current) >= maxSettled {
		t.current, t.previous, t.began = make(map[key]settlement, len(t.current)), t.current, now
	}
	s.at = now
	t.current[k] = s
}

// of returns the latest settlement of a request.
func (t *settled) of(now time.Time, k key) (settlement, bool) {
	s, ok := t.current[k]
	if !ok {
		s, ok = t.previous[k]
	}
	return s, ok && now.Sub(s.at) <= settledPeriod
}

// reply returns the refusal again, with the rest of its delay; nil if there was none.
func (s *settlement) reply(now time.Time, k key) []Action {
	if s.refusal == nil {
		return nil
	}
	r := *s.refusal
	if r.RetryAfter > 0 {
		r.RetryAfter = max(min(r.RetryAfter, minRetryAfter), r.RetryAfter-now.Sub(s.at))
	}
	return []Action{{k.host, r}}
}
