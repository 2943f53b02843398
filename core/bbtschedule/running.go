package bbtschedule

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// FirstEvent records the first event of a run.
func (s *Scheduler) FirstEvent(now time.Time, from bbtfleet.HostID, id RequestID) []Action {
	r := s.runs[key{from, id}]
	if r == nil {
		return nil
	}
	r.endpoint.firstEvent(now, r)
	return s.grant(now, r.endpoint.service)
}

// Done records the end of a run.
func (s *Scheduler) Done(now time.Time, from bbtfleet.HostID, d Done) []Action {
	r := s.runs[key{from, d.ID}]
	if r == nil || r.reg.Attempt != d.Attempt {
		return nil
	}
	delete(s.runs, r.key)
	r.endpoint.endRun(now, r, d)
	switch d.Outcome {
	case Rejected, Unreachable, Unused:
		s.refund(now, &r.reg, now.Sub(r.granted))
	case ConnectionLost:
		s.suspects.recordCrash(now, r.reg.Fingerprint, r.endpoint.incarnation())
	}
	return s.grant(now, r.endpoint.service)
}

// endReportGrace is how long after its caller's time the end of a run may be told. A
// host ends each request by then, so the message that told it was lost.
const endReportGrace = time.Second

// reap ends runs whose ends were never told.
func (s *Scheduler) reap(now time.Time) {
	if now.Sub(s.reapedAt) < endReportGrace {
		return
	}
	s.reapedAt = now
	for k, r := range s.runs {
		if now.Sub(r.granted) > r.reg.RemainingTime+endReportGrace {
			s.release(now, k)
		}
	}
}

// release ends a run of which its host has said no end.
func (s *Scheduler) release(now time.Time, k key) {
	if r := s.runs[k]; r != nil {
		delete(s.runs, k)
		r.endpoint.endRun(now, r, Done{Outcome: Cancelled})
	}
}

// TakeOver counts what runs and what was used under a former owner's permits. What
// a host had running under this owner, before it followed another one for a
// while, and does not name any more, has ended.
func (s *Scheduler) TakeOver(now time.Time, from bbtfleet.HostID, t Takeover) {
	runs := make(map[RequestID]bool, len(t.Running))
	for _, it := range t.Running {
		runs[it.Registration.ID] = true
	}
	for k := range s.runs {
		if k.host == from && !runs[k.id] {
			s.release(now, k)
		}
	}
	for _, it := range t.Running {
		e := s.byID[it.Endpoint]
		k := key{from, it.Registration.ID}
		if e == nil || s.runs[k] != nil {
			continue
		}
		r := &run{key: k, reg: it.Registration, endpoint: e, granted: now.Add(-it.Elapsed), firstEvent: it.FirstEvent, adopted: true}
		s.runs[k] = r
		e.adoptRun(now, r)
	}
	s.AddUsage(now, t.AccountUsage)
	for _, u := range t.Retries {
		s.retryBudget.meter(s.retryBudget.retries, u.Service).Add(now, u.Age, u.Amount)
	}
}

// ImportSpeed takes what a permit tells of an endpoint's speed.
func (s *Scheduler) ImportSpeed(endpoint string, v SpeedEstimate) {
	if e := s.byID[endpoint]; e != nil {
		e.importSpeed(v)
	}
}

// RemoveHost drops what a dead host waits for and runs.
func (s *Scheduler) RemoveHost(now time.Time, host bbtfleet.HostID) []Action {
	for _, sv := range s.services {
		for _, w := range sv.waitersOf(host) {
			sv.dequeue(w)
			s.refund(now, &w.reg, now.Sub(w.arrived))
		}
	}
	for k := range s.runs {
		if k.host == host {
			s.release(now, k)
		}
	}
	return s.grantAll(now)
}
