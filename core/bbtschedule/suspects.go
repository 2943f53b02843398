package bbtschedule

import (
	"slices"
	"time"
)

const (
	maxSuspects  = 8192
	trimInterval = 5 * time.Second
)

// suspects finds what crashes endpoints, a prompt block or a whole request, and
// keeps requests that have it from endpoints.
//
// A prompt that crashes an endpoint does so when the endpoint begins to answer, at the
// latest soon after the first event. So what was unanswered when an endpoint crashed, or
// answered since less than answerGrace, is suspected, and what is answered for longer
// elsewhere is cleared. Requests with a suspected trait are dispatched one by one, each to another
// endpoint. If the next one crashes its endpoint too, the trait is quarantined.
type suspects struct {
	byTrait     map[trait]*suspicion
	quarantines []*quarantine
	trimmedAt   time.Time
	observed    []*run // with their first event, by its time, until answerGrace has passed
}

func newSuspects() *suspects { return &suspects{byTrait: make(map[trait]*suspicion)} }

// empty reports whether nothing is suspected.
func (t *suspects) empty() bool { return len(t.byTrait) == 0 && len(t.quarantines) == 0 }

// recordLoss records that the connection of a run was lost in a possible crash. Prompt
// blocks that other endpoints were answering are not suspected.
func (t *suspects) recordLoss(r *run, c *crash, answeredElsewhere map[trait]bool) {
	answered := r.isAnsweredBefore(c.at)
	for _, tr := range traitsOf(&r.reg) {
		if !tr.fingerprint && (answered || answeredElsewhere[tr]) || len(t.byTrait) >= maxSuspects {
			continue
		}
		s := t.byTrait[tr]
		if s == nil {
			s = &suspicion{}
			t.byTrait[tr] = s
		}
		s.add(evidence{crash: c, grantedAt: r.granted, answered: answered})
	}
}

// judge quarantines what a confirmed crash completes the evidence against. It returns
// the quarantines that begin.
func (t *suspects) judge(now time.Time, c *crash) []*quarantine {
	if !c.confirmed() {
		return nil
	}
	for _, r := range c.lost {
		if q := t.quarantineOf(&r.reg); q != nil && !r.isAnsweredBefore(c.at) {
			c.cause = q
			if now.Before(q.until) {
				return nil
			}
			q.evidence = append(q.evidence, c)
			q.extend(now)
			return []*quarantine{q}
		}
	}
	var begun []*quarantine
	for _, r := range c.lost {
		traits := t.guilty(now, r, r.isAnsweredBefore(c.at))
		if len(traits) == 0 || t.quarantineOf(&r.reg) != nil || len(t.quarantines) >= maxQuarantines {
			continue
		}
		q := &quarantine{traits: traits, evidence: t.crashesOf(traits)}
		q.extend(now)
		t.quarantines = append(t.quarantines, q)
		begun = append(begun, q)
	}
	if len(begun) == 1 {
		c.cause = begun[0]
	}
	return begun
}

// guilty returns the traits of a lost run against which the evidence suffices: its
// prompt blocks if it was unanswered, or else the whole request.
func (t *suspects) guilty(now time.Time, r *run, answered bool) []trait {
	var blocks []trait
	for _, tr := range traitsOf(&r.reg) {
		s := t.byTrait[tr]
		if s == nil || !s.sufficient(now, tr) || answered && !tr.fingerprint {
			continue
		}
		if !tr.fingerprint {
			blocks = append(blocks, tr)
		} else if len(blocks) == 0 {
			return []trait{tr}
		}
	}
	return blocks
}

// crashesOf returns the crashes that are evidence against any of the traits.
func (t *suspects) crashesOf(traits []trait) []*crash {
	var out []*crash
	for _, tr := range traits {
		for _, ev := range t.byTrait[tr].evidence {
			if !slices.Contains(out, ev.crash) {
				out = append(out, ev.crash)
			}
		}
	}
	return out
}

// quarantineOf returns the quarantine that covers a request, of several the one that
// ends last, nil if there is none.
func (t *suspects) quarantineOf(r *Registration) *quarantine {
	if len(t.quarantines) == 0 {
		return nil
	}
	traits := traitsOf(r)
	var last *quarantine
	for _, q := range t.quarantines {
		if q.covers(traits) && (last == nil || q.until.After(last.until)) {
			last = q
		}
	}
	return last
}

// banned reports whether a request is refused, since it crashes endpoints.
func (t *suspects) banned(now time.Time, r *Registration) bool {
	q := t.quarantineOf(r)
	return q != nil && now.Before(q.until)
}

// trial describes whether a request is dispatched as a trial.
type trial struct {
	suspected bool // something that it has is suspected
	due       bool // it may be dispatched now; true also if nothing is suspected
}

// trialOf returns whether a request would be a trial, and whether it is due.
func (t *suspects) trialOf(now time.Time, r *Registration) trial {
	out := trial{due: true}
	if t.empty() {
		return out
	}
	t.forEachLimit(now, r, func(next *time.Time) {
		out.suspected = true
		if now.Before(*next) {
			out.due = false
		}
	})
	return out
}

// begin records that a request is dispatched, and reports whether it is a trial.
func (t *suspects) begin(now time.Time, r *Registration) bool {
	suspected := false
	t.forEachLimit(now, r, func(next *time.Time) {
		suspected = true
		*next = now.Add(trialInterval)
	})
	return suspected
}

// notRun records that no endpoint ran a trial, so that another one may begin.
func (t *suspects) notRun(now time.Time, r *Registration) {
	t.forEachLimit(now, r, func(next *time.Time) { *next = now })
}

// forEachLimit calls f with the time of the next trial of each suspected trait of a
// request, and of the quarantine that is over and covered it.
func (t *suspects) forEachLimit(now time.Time, r *Registration, f func(next *time.Time)) {
	if t.empty() {
		return
	}
	for _, tr := range traitsOf(r) {
		if s := t.byTrait[tr]; s != nil && s.active(now, tr) {
			f(&s.nextTrial)
		}
	}
	if q := t.quarantineOf(r); q != nil {
		f(&q.nextTrial)
	}
}

// answered clears the prompt blocks of a request that an endpoint has answered for
// answerGrace. It returns the quarantines that end.
func (t *suspects) answered(r *Registration) []*quarantine {
	return t.clear(r, func(tr trait) bool { return !tr.fingerprint })
}

// finished clears all traits of a request that was answered completely.
func (t *suspects) finished(r *Registration) []*quarantine {
	return t.clear(r, func(trait) bool { return true })
}

func (t *suspects) clear(r *Registration, which func(trait) bool) []*quarantine {
	if t.empty() {
		return nil
	}
	for _, tr := range traitsOf(r) {
		if !which(tr) {
			continue
		}
		delete(t.byTrait, tr)
		for _, q := range t.quarantines {
			if i := slices.Index(q.traits, tr); i >= 0 {
				q.traits = slices.Delete(slices.Clone(q.traits), i, i+1)
			}
		}
	}
	return t.removeIf(func(q *quarantine) bool { return len(q.traits) == 0 })
}

// refuted ends the quarantines for which the remaining evidence does not suffice,
// after an endpoint has turned out not to have crashed.
func (t *suspects) refuted(now time.Time, c *crash) []*quarantine {
	return t.removeIf(func(q *quarantine) bool {
		if !slices.Contains(q.evidence, c) || q.times > 1 {
			return false
		}
		return !slices.ContainsFunc(q.traits, func(tr trait) bool {
			s := t.byTrait[tr]
			return s != nil && s.sufficient(now, tr)
		})
	})
}

// removeIf removes quarantines and returns them.
func (t *suspects) removeIf(remove func(*quarantine) bool) []*quarantine {
	var removed []*quarantine
	t.quarantines = slices.DeleteFunc(t.quarantines, func(q *quarantine) bool {
		if remove(q) {
			q.lifted = true
			removed = append(removed, q)
			return true
		}
		return false
	})
	return removed
}

// trim forgets what has expired.
func (t *suspects) trim(now time.Time) {
	if now.Sub(t.trimmedAt) < trimInterval {
		return
	}
	t.trimmedAt = now
	for tr, s := range t.byTrait {
		if s.expired(now) {
			delete(t.byTrait, tr)
		}
	}
	t.removeIf(func(q *quarantine) bool { return q.expired(now) })
}
