package bbtschedule

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// FirstEvent records the first event of a run.
func (s *Scheduler) FirstEvent(now time.Time, from bbtfleet.HostID, f FirstEvent) []Action {
	s.recordDraining(now, f.Draining)
	r := s.runs[key{from, f.ID}]
	if r == nil {
		return nil
	}
	s.recordStated(now, now, r.endpoint, f.Limit)
	r.endpoint.firstEvent(now, r)
	r.endpoint.hostPauses.taken(now, r.granted)
	s.recordLife(now, r)
	s.suspects.observe(r)
	return s.grantAt(now, r.endpoint)
}

// Done records the end of a run.
func (s *Scheduler) Done(now time.Time, from bbtfleet.HostID, d Done) []Action {
	s.recordDraining(now, d.Draining)
	s.recordPause(now, from, d.Pause)
	r := s.runs[key{from, d.ID}]
	if r == nil || r.reg.Attempt != d.Attempt {
		return nil
	}
	// The request of a permit that is returned since its endpoint takes none is registered again.
	returned := d.Outcome == Unused && (d.Draining != (Incarnation{}) || d.Pause.Remaining > 0)
	s.settled.put(now, r.key, settlement{attempt: d.Attempt, forgotten: returned})
	if d.Outcome == Unused && r.firstEvent {
		d.Outcome = Cancelled // a permit that came twice was returned; the other one was used
	}
	return s.endRun(now, r, d)
}

// endRun ends a run and grants permits for the slot that becomes free.
func (s *Scheduler) endRun(now time.Time, r *run, d Done) []Action {
	delete(s.runs, r.key)
	s.recordStated(now, now, r.endpoint, d.Limit)
	r.endpoint.endRun(now, r, d)
	var out []Action
	switch d.Outcome {
	case Rejected, Unreachable, Unused, Misdirected:
		s.refund(now, &r.reg, now.Sub(r.registered))
		if r.reg.Retry && (d.Outcome == Unreachable || d.Outcome == Unused) {
			s.retryBudget.giveBack(now, r.reg.Service, now.Sub(r.registered))
		}
		s.suspects.notRun(now, &r.reg)
	case Finished:
		r.endpoint.hostPauses.taken(now, r.granted)
		s.recordLife(now, r)
		s.noticeLifted(s.suspects.finished(&r.reg))
	case ConnectionLost:
		out = s.judge(now, r)
	}
	if d.Pause.Remaining > 0 {
		out = append(out, s.refusePaused(now, r.key.host, r.endpoint.service)...)
	}
	return append(out, s.grantAt(now, r.endpoint)...)
}

// endReportGrace is how long after its caller's deadline the end of a run may
// be reported. Hosts end each request by its deadline, so a report that has not
// arrived by then was lost. It is also the interval between searches for such
// runs.
const endReportGrace = time.Second

// reap ends runs whose end reports were lost.
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

// release ends a run whose host has not reported its end.
func (s *Scheduler) release(now time.Time, k key) {
	if r := s.runs[k]; r != nil {
		delete(s.runs, k)
		r.endpoint.endRun(now, r, Done{Outcome: Cancelled})
	}
}

// permitFlight is the longest usual time until a permit is used. Longer ones are
// repeated.
const permitFlight = 250 * time.Millisecond

// forget ends a run whose host may still wait for its permit.
func (s *Scheduler) forget(now time.Time, r *run) {
	s.settled.put(now, r.key, settlement{attempt: r.reg.Attempt, forgotten: true, charged: true})
	s.release(now, r.key)
}

// Lacks returns what this owner does not know of a host that follows it.
func (s *Scheduler) Lacks(host bbtfleet.HostID) Lacks {
	if l, ok := s.lacks[host]; ok {
		return l
	}
	return LacksEverything
}

// TakeOver adds the runs and the usage that a host has from a former owner.
// It ends the host's runs that the host does not list, as they ended while the host
// used another owner, but for those whose permits may be on their way or came later.
func (s *Scheduler) TakeOver(now time.Time, from bbtfleet.HostID, t Takeover) {
	runs := make(map[RequestID]bool, len(t.Running))
	for _, active := range t.Running {
		runs[active.Registration.ID] = true
	}
	usageKnown := t.Again && s.Lacks(from) != LacksEverything
	s.lacks[from] = LacksNothing
	for k, r := range s.runs {
		later := t.Again || t.Last != 0 && k.id > t.Last
		if k.host == from && !runs[k.id] && !later && now.Sub(r.granted) >= permitFlight {
			s.forget(now, r)
		}
	}
	for _, active := range t.Running {
		e := s.byID[active.Endpoint]
		k := key{from, active.Registration.ID}
		if e == nil || s.runs[k] != nil {
			continue
		}
		s.drop(now, k) // it may wait here since before the host used another owner
		granted := now.Add(-active.Elapsed)
		r := &run{key: k, reg: active.Registration, endpoint: e, registered: granted, granted: granted, firstEvent: active.FirstEvent, firstEventAt: granted, adopted: true}
		s.runs[k] = r
		e.adoptRun(now, r)
	}
	s.suspects.merge(now, t.Learned.Quarantines)
	for _, l := range t.Limits {
		e := s.byID[l.Endpoint]
		if e == nil {
			e = s.unlisted.of(l.Endpoint)
		}
		if e != nil && (l.Address == "" || !incarnationOf(e.record).Succeeds(l.Incarnation())) {
			s.recordStated(now, now.Add(-l.Age), e, l.Limit)
		}
	}
	for _, p := range t.Pauses {
		s.recordPause(now, from, p)
	}
	for _, i := range t.Draining {
		s.recordDraining(now, i)
	}
	s.restorePromises(now, t.Promises)
	if usageKnown {
		return
	}
	s.AddUsage(now, t.AccountUsage)
	for _, usage := range t.Retries {
		s.retryBudget.meter(s.retryBudget.retries, usage.Service).Add(now, usage.Age, usage.Amount)
	}
}

// ImportSpeed adopts the speed estimate of an endpoint from a permit.
func (s *Scheduler) ImportSpeed(endpoint string, v SpeedEstimate) {
	if e := s.byID[endpoint]; e != nil {
		e.importSpeed(v)
	}
}

// RemoveHost drops the queued requests and the runs of a dead host, and grants
// permits for the slots that become free.
func (s *Scheduler) RemoveHost(now time.Time, host bbtfleet.HostID) []Action {
	for _, sv := range s.services {
		for _, w := range sv.queue.ofHost(host) {
			sv.queue.remove(w)
			s.reclaim(now, w)
			s.settled.put(now, w.key, settlement{attempt: w.reg.Attempt, forgotten: true})
		}
	}
	for k, r := range s.runs {
		if k.host == host {
			s.forget(now, r)
		}
	}
	if _, ok := s.lacks[host]; ok {
		s.lacks[host] = LacksDispatches
	}
	return s.grantAll(now)
}
