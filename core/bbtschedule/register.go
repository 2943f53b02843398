package bbtschedule

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtverdict"
)

// Register queues a request, or refuses it if a limit does not allow it or its
// expected wait is too long. It grants permits at once if endpoints are free. A
// registration that has arrived before keeps its place and is answered as before.
func (s *Scheduler) Register(now time.Time, from bbtfleet.HostID, r Registration) []Action {
	k := key{from, r.ID}
	if again, known := s.known(now, k, r.Attempt); known {
		return again
	}
	refuse := func(reason bbtverdict.Reason, retryAfter time.Duration) []Action {
		return []Action{s.refuse(now, k, Refusal{ID: r.ID, Attempt: r.Attempt, Reason: string(reason), RetryAfter: retryAfter})}
	}
	sv := s.services[r.Service]
	if sv == nil {
		return refuse(bbtverdict.ReasonUnknownPool, minRetryAfter)
	}
	if before := s.runs[k]; before != nil && r.Uncharged {
		s.refund(now, &before.reg, now.Sub(before.registered)) // the report of its end was lost
	}
	s.release(now, k)
	s.drop(now, k) // an earlier attempt may wait since before the host used another owner
	if s.suspects.banned(now, &r) {
		return refuse(bbtverdict.ReasonCrashesEndpoints, 0)
	}
	if r.Silent != 0 {
		return s.relocate(now, sv, k, r)
	}
	before, known := s.settled.of(now, k)
	counted := known && before.forgotten && before.attempt == r.Attempt
	charged := known && before.forgotten && before.charged && (counted || r.Uncharged)
	if r.Attempt == 0 && !counted {
		s.retryBudget.countRequest(now, r.Service)
	}
	if r.Retry && !(counted && before.charged) && !s.retryBudget.take(now, r.Service, s.shares.limits) {
		return refuse(bbtverdict.ReasonRetryBudget, 0)
	}
	returning, promised := s.returns(now, sv, r.Fingerprint)
	if r.isCharged() && !charged {
		if retryAfter, ok := s.charge(now, &r); !ok {
			return refuse(bbtverdict.ReasonTokenRate, min(max(retryAfter, s.backoff.retryDelay(now, r)), r.RemainingTime/retryAfterDivisor))
		}
	}
	w := newWaiter(now, k, r, returning)
	w.promised = promised
	return s.admit(now, sv, w)
}

// admit queues a new request and grants its permit if an endpoint is free, or refuses it
// if its expected wait is too long.
func (s *Scheduler) admit(now time.Time, sv *service, w *waiter) []Action {
	sv.refresh(now)
	sv.enqueue(now, w)
	if sv.mayTakeRoom(now, w) {
		if e := sv.choose(now, w); e != nil {
			sv.noteAdmitted(now, w)
			return []Action{s.permit(now, sv, w, e)}
		}
	}
	ahead, wait := sv.queuePosition(now, w)
	if sv.admits(now, w, wait) {
		sv.noteAdmitted(now, w)
		sv.noteWaits(now, w)
		return nil
	}
	sv.queue.remove(w)
	sv.noteRefused(w)
	return []Action{s.refuseWaiter(now, w, Refusal{Reason: string(bbtverdict.ReasonPoolFull), Ahead: ahead, Wait: wait})}
}

// refuse returns a refusal and remembers it, in case that it is lost.
func (s *Scheduler) refuse(now time.Time, k key, r Refusal) Action {
	s.settled.put(now, k, settlement{attempt: r.Attempt, refusal: &r})
	return Action{k.host, r}
}

// refuseWaiter refuses a dequeued request, reclaims what it used and sets when its
// caller should retry.
func (s *Scheduler) refuseWaiter(now time.Time, w *waiter, r Refusal) Action {
	if w.reg.Silent != 0 {
		return s.refuseRelocation(now, w)
	}
	s.reclaim(now, w)
	r.ID, r.Attempt = w.reg.ID, w.reg.Attempt
	if sv := s.services[w.reg.Service]; sv != nil && sv.tiers != nil {
		r.Promise = sv.tiers.promise(now, sv, w)
		r.RetryAfter = r.Promise.After
	} else {
		r.RetryAfter = s.backoff.retryDelay(now, w.withRemainingTime(now))
	}
	return s.refuse(now, w.key, r)
}

// Withdraw removes a request that has ended while its host waited for a permit, and
// refunds its cost, unless a permit for an earlier attempt was used. It grants permits
// for a slot that becomes free.
func (s *Scheduler) Withdraw(now time.Time, from bbtfleet.HostID, m Withdrawal) []Action {
	k := key{from, m.ID}
	s.settled.put(now, k, settlement{attempt: allAttempts})
	s.drop(now, k)
	r := s.runs[k]
	if r == nil {
		return nil
	}
	if r.reg.Attempt == m.Attempt && !r.adopted {
		return s.endRun(now, r, Done{Outcome: Unused})
	}
	return s.endRun(now, r, Done{Outcome: Cancelled})
}
