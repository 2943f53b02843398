package bbtschedule

import (
	"time"

	"bluebelltray/core/bbtverdict"
)

// relocate queues a request whose dispatch goes on at a silent endpoint for another
// one, behind the timely requests, even if its latency objective is missed. It refuses
// the request only if no retry is left, since the silent endpoint may answer meanwhile.
func (s *Scheduler) relocate(now time.Time, sv *service, k key, r Registration) []Action {
	if run := s.runs[key{k.host, r.Silent}]; run != nil {
		run.endpoint.recordSilence(now, run)
	}
	if !s.retryBudget.take(now, r.Service, s.shares.limits) {
		return []Action{s.refuse(now, k, Refusal{ID: r.ID, Attempt: r.Attempt, Reason: string(bbtverdict.ReasonRetryBudget)})}
	}
	w := newWaiter(now, k, r, false)
	sv.refresh(now)
	sv.enqueue(now, w)
	if e := sv.choose(now, w); e != nil {
		return []Action{s.permit(now, sv, w, e)}
	}
	return nil
}

// refuseRelocation refuses a dequeued relocation. Its caller is not told, so no return
// is expected.
func (s *Scheduler) refuseRelocation(now time.Time, w *waiter) Action {
	s.reclaim(now, w)
	return s.refuse(now, w.key, Refusal{ID: w.reg.ID, Attempt: w.reg.Attempt, Reason: string(bbtverdict.ReasonPoolFull)})
}

// reclaim reverses what a request that is dequeued without a permit has used of its
// account's limit and of the retry budget.
func (s *Scheduler) reclaim(now time.Time, w *waiter) {
	age := now.Sub(w.arrivedAt)
	s.refund(now, &w.reg, age)
	if w.reg.Retry {
		s.retryBudget.giveBack(now, w.reg.Service, age)
	}
}

// recordSilence pauses an endpoint at which several runs in succession get no data. A
// run counts once. A first event resets the count.
func (e *endpoint) recordSilence(now time.Time, r *run) {
	if r.silent {
		return
	}
	r.silent = true
	if e.consecutiveFailures++; e.consecutiveFailures >= failuresToPause {
		e.pause(now, e.failurePause())
		e.service.reorder(now, e)
	}
}
