package bbtschedule

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtverdict"
)

// Register queues a request, or refuses it if a limit does not allow it or its
// expected wait is too long. It grants permits at once if endpoints are free.
func (s *Scheduler) Register(now time.Time, from bbtfleet.HostID, r Registration) []Action {
	k := key{from, r.ID}
	refuse := func(reason bbtverdict.Reason, retryAfter time.Duration) []Action {
		return []Action{{from, Refusal{ID: r.ID, Attempt: r.Attempt, Reason: string(reason), RetryAfter: retryAfter}}}
	}
	sv := s.services[r.Service]
	if sv == nil {
		return refuse(bbtverdict.ReasonUnknownPool, minRetryAfter)
	}
	s.release(now, k)
	s.Withdraw(now, from, r.ID) // it may wait since before the host used another owner
	if s.suspects.banned(now, &r) {
		return refuse(bbtverdict.ReasonCrashesEndpoints, 0)
	}
	if r.Attempt == 0 && !r.Counted {
		s.retryBudget.countRequest(now, r.Service)
	}
	if r.Retry && !r.Counted && !s.retryBudget.take(now, r.Service, s.shares.limits) {
		return refuse(bbtverdict.ReasonRetryBudget, 0)
	}
	returning := s.backoff.wasRefused(now, r.Fingerprint)
	if r.Attempt == 0 {
		if retryAfter, ok := s.charge(now, &r); !ok {
			return refuse(bbtverdict.ReasonTokenRate, min(max(retryAfter, s.backoff.retryDelay(now, r)), r.RemainingTime/retryAfterDivisor))
		}
	}
	w := newWaiter(now, k, r, returning)
	sv.refresh(now)
	sv.enqueue(now, w)
	if e := sv.choose(now, w); e != nil {
		return []Action{s.permit(now, sv, w, e)}
	}
	ahead, wait := sv.queuePosition(now, w)
	if sv.admits(now, w, wait) {
		return nil
	}
	sv.queue.remove(w)
	return []Action{s.refuseWaiter(now, w, Refusal{Reason: string(bbtverdict.ReasonPoolFull), Ahead: ahead, Wait: wait})}
}

// refuseWaiter refuses a dequeued request, refunds its cost and sets when its
// caller should retry.
func (s *Scheduler) refuseWaiter(now time.Time, w *waiter, r Refusal) Action {
	s.refund(now, &w.reg, now.Sub(w.arrivedAt))
	r.ID, r.Attempt = w.reg.ID, w.reg.Attempt
	r.RetryAfter = s.backoff.retryDelay(now, w.withRemainingTime(now))
	return Action{w.key.host, r}
}

// Withdraw removes a request from the queue and refunds its cost.
func (s *Scheduler) Withdraw(now time.Time, from bbtfleet.HostID, id RequestID) {
	for _, sv := range s.services {
		if w := sv.queue.byKey[key{from, id}]; w != nil {
			sv.queue.remove(w)
			s.refund(now, &w.reg, now.Sub(w.arrivedAt))
		}
	}
}
