package bbtschedule

import (
	"slices"
	"time"
)

const (
	quarantineDuration    = 2 * time.Minute // doubled each time that it was in vain
	maxQuarantineDuration = time.Hour
	maxDoublings          = 8 // of quarantineDuration
	maxQuarantines        = 256
)

// quarantine refuses the requests that have all of its traits. Several traits stand
// together while no request has shown which of them is harmless. After its end, such
// requests are dispatched one at a time until one is answered.
type quarantine struct {
	traits    []trait
	until     time.Time
	times     int // that the same traits were quarantined
	evidence  []*crash
	nextTrial time.Time
	lifted    bool
}

// has reports whether the quarantine has a trait.
func (q *quarantine) has(t trait) bool { return slices.Contains(q.traits, t) }

// covers reports whether a request has all of the traits.
func (q *quarantine) covers(traits []trait) bool {
	for _, t := range q.traits {
		if !slices.Contains(traits, t) {
			return false
		}
	}
	return true
}

// extend begins the quarantine, or begins it anew.
func (q *quarantine) extend(now time.Time) {
	q.until = now.Add(min(maxQuarantineDuration, quarantineDuration<<q.times))
	q.times = min(q.times+1, maxDoublings)
}

// expired reports whether the quarantine can be forgotten.
func (q *quarantine) expired(now time.Time) bool {
	return len(q.traits) == 0 || now.Sub(q.until) > suspicionLifetime+quarantineDuration
}

// endpoints returns the IDs of the endpoints that crashed.
func (q *quarantine) endpoints() []string {
	out := make([]string, 0, len(q.evidence))
	for _, c := range q.evidence {
		out = append(out, c.endpoint.record.ID)
	}
	return out
}
