package bbtschedule

import "time"

// answerGrace is the time from the first event of an answer after which the prompt is
// known not to crash the endpoint. It covers the time until a host notices a crash and
// reports it.
const answerGrace = 250 * time.Millisecond

// isAnsweredBefore reports whether the run had been answered for answerGrace at a time.
func (r *run) isAnsweredBefore(t time.Time) bool {
	return r.firstEvent && t.Sub(r.firstEventAt) >= answerGrace
}

// observe waits to see whether an endpoint goes on to answer a run that has its first
// event, if anything is suspected.
func (t *suspects) observe(r *run) {
	if !t.empty() {
		t.observed = append(t.observed, r)
	}
}

// clearAnswered clears the prompt blocks of the runs that have been answered for
// answerGrace.
func (s *Scheduler) clearAnswered(now time.Time) {
	t := s.suspects
	for len(t.observed) > 0 && t.observed[0].isAnsweredBefore(now) {
		r := t.observed[0]
		t.observed = t.observed[1:]
		if s.runs[r.key] == r {
			s.noticeLifted(t.answered(&r.reg))
		}
	}
}

// answeredElsewhere returns the prompt blocks that other endpoints had been answering for
// answerGrace when an endpoint crashed.
func (s *Scheduler) answeredElsewhere(c *crash) map[trait]bool {
	if c.answered != nil {
		return c.answered
	}
	c.answered = make(map[trait]bool)
	for _, r := range s.runs {
		if r.endpoint == c.endpoint || !r.isAnsweredBefore(c.at) {
			continue
		}
		for _, tr := range traitsOf(&r.reg) {
			if !tr.fingerprint {
				c.answered[tr] = true
			}
		}
	}
	return c.answered
}
