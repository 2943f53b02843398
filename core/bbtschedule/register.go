package bbtschedule

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtverdict"
)

// Register takes a request on.
func (s *Scheduler) Register(now time.Time, from bbtfleet.HostID, r Registration) []Action {
	k := key{from, r.ID}
	refuse := func(reason bbtverdict.Reason, after time.Duration) []Action {
		return []Action{{from, Refusal{ID: r.ID, Attempt: r.Attempt, Reason: string(reason), RetryAfter: after}}}
	}
	sv := s.services[r.Service]
	if sv == nil {
		return refuse(bbtverdict.ReasonUnknownPool, minReturn)
	}
	s.release(now, k)
	if s.suspects.banned(now, r.Fingerprint) {
		return refuse(bbtverdict.ReasonCrashesEndpoints, 0)
	}
	if r.Attempt == 0 {
		s.repeats.request(now, r.Service)
	}
	if r.Retry && !s.repeats.take(now, r.Service, s.share) {
		return refuse(bbtverdict.ReasonRetryBudget, 0)
	}
	again := s.returns.back(now, r.Fingerprint)
	if r.Attempt == 0 {
		if after, ok := s.charge(now, &r); !ok {
			return refuse(bbtverdict.ReasonTokenRate, min(max(after, s.returns.schedule(now, r)), r.RemainingTime/callerPatience))
		}
	}
	w := newWaiter(now, k, r, again)
	sv.push(now, w)
	out := s.grant(now, sv)
	if w.done {
		return out
	}
	ahead, wait := sv.turn(now, w)
	if sv.admits(now, w, wait) {
		return out
	}
	sv.drop(w)
	return append(out, s.refuseWaiter(now, w, Refusal{Reason: string(bbtverdict.ReasonPoolFull), Ahead: ahead, Wait: wait}))
}

// refuseWaiter refuses a waiting request and says when to come again.
func (s *Scheduler) refuseWaiter(now time.Time, w *waiter, r Refusal) Action {
	s.refund(now, &w.reg, now.Sub(w.arrived))
	r.ID, r.Attempt = w.reg.ID, w.reg.Attempt
	r.RetryAfter = s.returns.schedule(now, w.left(now))
	return Action{w.key.host, r}
}

// Withdraw takes a waiting request out.
func (s *Scheduler) Withdraw(now time.Time, from bbtfleet.HostID, id RequestID) {
	for _, sv := range s.services {
		if w := sv.find(key{from, id}); w != nil {
			sv.drop(w)
			s.refund(now, &w.reg, now.Sub(w.arrived))
		}
	}
}
