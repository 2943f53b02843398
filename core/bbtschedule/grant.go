package bbtschedule

import (
	"time"

	"bluebelltray/core/bbtverdict"
)

// Tick ends runs whose end reports were lost, grants permits and refuses
// requests that have waited too long.
func (s *Scheduler) Tick(now time.Time) []Action {
	s.reap(now)
	out := s.grantAll(now)
	for _, sv := range s.services {
		for _, w := range sv.overdue(now) {
			ahead, wait := sv.queuePosition(now, w)
			sv.dequeue(w)
			out = append(out, s.refuseWaiter(now, w, Refusal{Reason: string(bbtverdict.ReasonDeadlineUnreachable), Ahead: ahead, Wait: wait}))
		}
	}
	return out
}

// HasWaiting reports whether any request is queued.
func (s *Scheduler) HasWaiting() bool {
	for _, sv := range s.services {
		if len(sv.waiting) > 0 {
			return true
		}
	}
	return false
}

// grantAll grants permits for all services, as far as their endpoints have free
// slots.
func (s *Scheduler) grantAll(now time.Time) []Action {
	var out []Action
	for _, sv := range s.services {
		out = append(out, s.grant(now, sv)...)
	}
	return out
}

// grant gives permits to the queued requests of a service, as far as its
// endpoints have free slots: first to those that can still meet their latency
// objective, then to the late ones.
func (s *Scheduler) grant(now time.Time, sv *service) []Action {
	if len(sv.waiting) == 0 {
		return nil
	}
	candidates := sv.availableEndpoints(now, s.slotShare, s.limitShare)
	var out []Action
	for _, late := range [...]bool{false, true} {
		for i := 0; i < len(sv.waiting) && len(candidates) > 0; {
			w := sv.waiting[i]
			e := s.endpointFor(now, w, candidates, late)
			if e == nil {
				i++
				continue
			}
			out = append(out, s.permit(now, sv, w, e))
			candidates = sv.availableEndpoints(now, s.slotShare, s.limitShare)
		}
	}
	return out
}

// endpointFor returns the endpoint for a queued request in the pass for late or
// for timely requests, nil if the request belongs to the other pass or has to
// wait.
func (s *Scheduler) endpointFor(now time.Time, w *waiter, candidates []*endpoint, late bool) *endpoint {
	if late != w.late(now) {
		return nil
	}
	return w.choose(now, candidates, late)
}

// permit dequeues a request and grants it a permit for an endpoint.
func (s *Scheduler) permit(now time.Time, sv *service, w *waiter, e *endpoint) Action {
	sv.dequeue(w)
	sv.granted(now)
	r := &run{key: w.key, reg: w.reg, endpoint: e, granted: now}
	s.runs[w.key] = r
	e.startRun(now, r, s.limitShare)
	return Action{w.key.host, Permit{
		ID: w.reg.ID, Attempt: w.reg.Attempt, Endpoint: e.record.ID, Address: e.record.Address, SpeedEstimate: e.speed(), Running: len(e.running),
	}}
}
