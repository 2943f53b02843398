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
	r.endpoint.began(now, r)
	return s.grant(now, r.endpoint.service)
}

// Done records the end of a run.
func (s *Scheduler) Done(now time.Time, from bbtfleet.HostID, d Done) []Action {
	r := s.runs[key{from, d.ID}]
	if r == nil || r.reg.Attempt != d.Attempt {
		return nil
	}
	delete(s.runs, r.key)
	r.endpoint.end(now, r, d)
	switch d.Outcome {
	case Rejected, Unreachable, Unused:
		s.refund(now, &r.reg, now.Sub(r.granted))
	case ConnectionLost:
		s.suspects.crash(now, r.reg.Fingerprint, r.endpoint.incarnation())
	}
	return s.grant(now, r.endpoint.service)
}

// endSpare is how long after its caller's time the end of a run may be told. A
// host ends each request by then, so the message that told it was lost.
const endSpare = time.Second

// reap ends runs whose ends were never told.
func (s *Scheduler) reap(now time.Time) {
	if now.Sub(s.reapedAt) < endSpare {
		return
	}
	s.reapedAt = now
	for k, r := range s.runs {
		if now.Sub(r.granted) > r.reg.RemainingTime+endSpare {
			s.release(now, k)
		}
	}
}

// release ends a run of which its host has said no end.
func (s *Scheduler) release(now time.Time, k key) {
	if r := s.runs[k]; r != nil {
		delete(s.runs, k)
		r.endpoint.end(now, r, Done{Outcome: Cancelled})
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
		r := &run{key: k, reg: it.Registration, endpoint: e, granted: now.Add(-it.Elapsed), began: it.FirstEvent, adopted: true}
		s.runs[k] = r
		e.adopt(now, r)
	}
	s.AddUsage(now, t.AccountUsage)
	for _, u := range t.Retries {
		s.repeats.meter(s.repeats.again, u.Service).Add(now, u.Age, u.Amount)
	}
}

// ImportSpeed takes what a permit tells of an endpoint's speed.
func (s *Scheduler) ImportSpeed(endpoint string, v SpeedEstimate) {
	if e := s.byID[endpoint]; e != nil {
		e.learnt(v)
	}
}

// RemoveHost drops what a dead host waits for and runs.
func (s *Scheduler) RemoveHost(now time.Time, host bbtfleet.HostID) []Action {
	for _, sv := range s.services {
		for _, w := range sv.of(host) {
			sv.drop(w)
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
