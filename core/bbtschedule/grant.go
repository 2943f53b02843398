package bbtschedule

import (
	"time"

	"bluebelltray/core/bbtverdict"
)

// Tick does what is due by time alone.
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

// HasWaiting reports whether any request waits.
func (s *Scheduler) HasWaiting() bool {
	for _, sv := range s.services {
		if len(sv.waiting) > 0 {
			return true
		}
	}
	return false
}

// grantAll grants what the endpoints of all services can take.
func (s *Scheduler) grantAll(now time.Time) []Action {
	var out []Action
	for _, sv := range s.services {
		out = append(out, s.grant(now, sv)...)
	}
	return out
}

// grant gives permits to the waiting requests of a service, as far as its
// endpoints have room: first to those that can still keep their objective, then
// to the late ones.
func (s *Scheduler) grant(now time.Time, sv *service) []Action {
	if len(sv.waiting) == 0 {
		return nil
	}
	room := sv.availableEndpoints(now, s.slotShare, s.limitShare)
	var out []Action
	for _, late := range [...]bool{false, true} {
		for i := 0; i < len(sv.waiting) && len(room) > 0; {
			w := sv.waiting[i]
			e := s.endpointFor(now, w, room, late)
			if e == nil {
				i++
				continue
			}
			out = append(out, s.permit(now, sv, w, e))
			room = sv.availableEndpoints(now, s.slotShare, s.limitShare)
		}
	}
	return out
}

// endpointFor returns the endpoint for a request if it is its endpointFor.
func (s *Scheduler) endpointFor(now time.Time, w *waiter, room []*endpoint, late bool) *endpoint {
	if late != w.late(now) {
		return nil
	}
	return w.choose(now, room, late)
}

// permit gives a waiting request to an endpoint.
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
