package bbtschedule

import (
	"time"

	"bluebelltray/core/bbtverdict"
)

// Tick ends runs whose end reports were lost, grants permits and refuses
// requests that have waited too long.
func (s *Scheduler) Tick(now time.Time) []Action {
	s.reap(now)
	s.reportCrashes(now)
	s.suspects.trim(now)
	s.clearAnswered(now)
	out := s.grantAll(now)
	for _, sv := range s.services {
		out = append(out, s.review(now, sv)...)
		for w := sv.queue.nextOverdue(now); w != nil; w = sv.queue.nextOverdue(now) {
			ahead, wait := sv.queuePosition(now, w)
			sv.queue.remove(w)
			sv.noteBroken(w)
			out = append(out, s.refuseWaiter(now, w, Refusal{Reason: string(bbtverdict.ReasonDeadlineUnreachable), Ahead: ahead, Wait: wait}))
		}
	}
	return out
}

// HasWaiting reports whether any request is queued.
func (s *Scheduler) HasWaiting() bool {
	for _, sv := range s.services {
		if sv.queue.Len() > 0 {
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

// maxExamined bounds how many requests of each line one pass of grant examines.
const maxExamined = 32

// grant gives permits to the queued requests of a service, as far as its
// endpoints have free slots: first to those that can still meet their latency
// objective, then to the late ones.
func (s *Scheduler) grant(now time.Time, sv *service) []Action {
	if sv.queue.Len() == 0 {
		return nil
	}
	sv.refresh(now)
	sv.queue.advance(now)
	var out []Action
	for l := range sv.queue.lines() {
		for i, n := 0, 0; n < maxExamined && i < len(*l) && sv.order.open > 0; n++ {
			w := (*l)[i]
			if !sv.mayTakeRoom(now, w) {
				break
			}
			if e := sv.choose(now, w); e != nil {
				out = append(out, s.permit(now, sv, w, e))
				continue
			}
			i++
		}
	}
	return out
}

// grantAt gives permits for an endpoint that may have become able to take more
// requests. The other endpoints have not, but for what time alone changes, which
// the next Tick considers.
func (s *Scheduler) grantAt(now time.Time, e *endpoint) []Action {
	sv := e.service
	if sv.queue.Len() == 0 {
		return nil
	}
	sv.refresh(now)
	sv.queue.advance(now)
	var out []Action
	for l := range sv.queue.lines() {
		for e.ordered != nil && e.hasRoom(now) {
			w := e.preferred(now, *l)
			if w == nil || !sv.mayTakeRoom(now, w) {
				break
			}
			out = append(out, s.permit(now, sv, w, e))
		}
	}
	return out
}

// permit dequeues a request and grants it a permit for an endpoint.
func (s *Scheduler) permit(now time.Time, sv *service, w *waiter, e *endpoint) Action {
	sv.queue.remove(w)
	sv.granted(now)
	if sv.tiers != nil {
		sv.tiers.served(now, w)
	}
	r := &run{key: w.key, reg: w.reg, endpoint: e, registered: w.arrivedAt, granted: now, work: w.work, trial: s.suspects.begin(now, &w.reg)}
	s.runs[w.key] = r
	e.startRun(now, r)
	return Action{w.key.host, r.permit()}
}
