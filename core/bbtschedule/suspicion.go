package bbtschedule

import (
	"slices"
	"time"
)

const (
	// crashesToQuarantine is the number of successive crashes, each of a request that
	// was dispatched after the one before, from which a trait is quarantined.
	crashesToQuarantine = 2
	// answeredCrashesToQuarantine is the same for a request whose streams were being
	// answered when endpoints crashed, as those of any request beside the cause are.
	answeredCrashesToQuarantine = 3
	suspicionLifetime           = 30 * time.Second // since the latest crash
	maxEvidence                 = 8                // crashes remembered of a trait
	// trialInterval is the least time between dispatches of requests with a suspected
	// trait. An endpoint crashes, or begins to answer, within a shorter one.
	trialInterval = 400 * time.Millisecond
)

// evidence is a crash of an endpoint during a run with a trait.
type evidence struct {
	crash     *crash
	grantedAt time.Time
	answered  bool // the run had its first event
}

// suspicion is the evidence against a trait since it was last seen to be harmless.
type suspicion struct {
	evidence  []evidence // by time
	nextTrial time.Time
}

// add adds evidence.
func (s *suspicion) add(ev evidence) {
	s.evidence = append(s.evidence, ev)
	if len(s.evidence) > maxEvidence {
		s.evidence = slices.Delete(s.evidence, 0, 1)
	}
}

// stands reports whether the endpoint has crashed within suspicionLifetime, or may yet
// turn out to have.
func (ev *evidence) stands(now time.Time) bool {
	c := ev.crash
	if c.refuted || !c.confirmed() && now.Sub(c.at) > crashWindow {
		return false
	}
	return now.Sub(c.at) < suspicionLifetime
}

// counts reports whether a piece of evidence speaks against the trait: it stands, and no
// other trait explains the crash.
func (ev *evidence) counts(now time.Time, t trait) bool {
	return ev.stands(now) && !ev.crash.explainedWithout(t)
}

// active reports whether any evidence of an unanswered run counts.
func (s *suspicion) active(now time.Time, t trait) bool {
	return slices.ContainsFunc(s.evidence, func(ev evidence) bool { return !ev.answered && ev.counts(now, t) })
}

// expired reports whether no evidence will count any longer. What another trait explains
// counts again if that one is found harmless.
func (s *suspicion) expired(now time.Time) bool {
	return !slices.ContainsFunc(s.evidence, func(ev evidence) bool { return ev.stands(now) })
}

// successive returns the number of confirmed crashes such that each run was
// dispatched after the crash before, so that one fault of several endpoints counts
// once. An incarnation of an endpoint crashes once.
func (s *suspicion) successive(now time.Time, t trait, withAnswered bool) int {
	var seen []incarnation
	var last time.Time
	for _, ev := range s.evidence {
		id := ev.crash.endpoint.incarnation()
		if !ev.counts(now, t) || !ev.crash.confirmed() || ev.answered && !withAnswered || slices.Contains(seen, id) {
			continue
		}
		if len(seen) > 0 && ev.grantedAt.Before(last) {
			continue
		}
		seen = append(seen, id)
		last = ev.crash.at
	}
	return len(seen)
}

// sufficient reports whether the evidence suffices for a quarantine.
func (s *suspicion) sufficient(now time.Time, t trait) bool {
	return s.successive(now, t, false) >= crashesToQuarantine || s.successive(now, t, true) >= answeredCrashesToQuarantine
}
