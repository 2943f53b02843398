package bbtschedule

import (
	"time"

	"bluebelltray/core/bbtverdict"
)

const (
	// crashWindow is the time within which the runs of a crashed endpoint are
	// reported as lost.
	crashWindow = time.Second
	// deliveryMargin is the time for which reports of events that an endpoint sent
	// before it crashed may still arrive.
	deliveryMargin = 100 * time.Millisecond
	// crashReportDelay is the time from the first loss until a crash is reported, so
	// that the report names the runs of all hosts.
	crashReportDelay = 300 * time.Millisecond
)

// crash is the possible crash of an endpoint, of which connections were lost.
type crash struct {
	endpoint *endpoint
	at       time.Time // of the first loss
	running  int       // runs at that time
	lost     []*run
	refuted  bool        // the endpoint has sent something since
	cause    *quarantine // that explains the crash; nil if none is known to

	answered map[trait]bool // prompt blocks that other endpoints were answering; nil until it is known
}

// confirmed reports whether most runs of the endpoint were lost. A fault of a
// network path, or of the requests of one host, leaves others.
func (c *crash) confirmed() bool { return !c.refuted && 2*len(c.lost) >= c.running }

// explainedWithout reports whether a quarantine that stands explains the crash, and
// does not have a trait.
func (c *crash) explainedWithout(t trait) bool {
	return c.cause != nil && !c.cause.lifted && !c.cause.has(t)
}

// recordLoss records that the connection of a run was lost that has just left its
// endpoint, and returns the possible crash that the loss belongs to.
func (s *Scheduler) recordLoss(now time.Time, r *run) *crash {
	e := r.endpoint
	if e.crash == nil || now.Sub(e.crash.at) > crashWindow {
		e.crash = &crash{endpoint: e, at: now, running: len(e.running) + 1}
		s.unreported = append(s.unreported, e.crash)
	}
	e.crash.lost = append(e.crash.lost, r)
	return e.crash
}

// reportCrashes gives notice of the confirmed crashes that are due to be reported.
func (s *Scheduler) reportCrashes(now time.Time) {
	for len(s.unreported) > 0 && now.Sub(s.unreported[0].at) >= crashReportDelay {
		if c := s.unreported[0]; c.confirmed() {
			s.notices = append(s.notices, c.report())
		}
		s.unreported = s.unreported[1:]
	}
}

// recordLife records that an endpoint has answered a run. This refutes a crash of
// which the answer is no remainder. After crashWindow it does not, since another
// process may have started under the same ID.
func (s *Scheduler) recordLife(now time.Time, r *run) {
	e := r.endpoint
	c := e.crash
	if c == nil || now.Sub(c.at) > crashWindow {
		return
	}
	if !r.granted.Before(c.at) || now.Sub(c.at) > deliveryMargin {
		c.refuted = true
		e.crash = nil
		s.noticeLifted(s.suspects.refuted(now, c))
	}
}

// judge records that the connection of a run was lost, and refuses the queued requests
// that are quarantined because of it.
func (s *Scheduler) judge(now time.Time, r *run) []Action {
	c := s.recordLoss(now, r)
	s.suspects.recordLoss(r, c, s.answeredElsewhere(c))
	begun := s.suspects.judge(now, c)
	if len(begun) == 0 {
		return nil
	}
	s.noticeQuarantined(begun)
	return s.refuseBanned(now)
}

// refuseBanned refuses the queued requests that are quarantined.
func (s *Scheduler) refuseBanned(now time.Time) []Action {
	var out []Action
	for _, sv := range s.services {
		for _, w := range sv.queue.all() {
			if s.suspects.banned(now, &w.reg) {
				sv.queue.remove(w)
				s.reclaim(now, w)
				out = append(out, Action{w.key.host, Refusal{ID: w.reg.ID, Attempt: w.reg.Attempt, Reason: string(bbtverdict.ReasonCrashesEndpoints)}})
			}
		}
	}
	return out
}

// report returns a description of the crash.
func (c *crash) report() EndpointCrashed {
	n := EndpointCrashed{Endpoint: c.endpoint.record.ID, Running: c.running, Lost: len(c.lost)}
	for _, r := range c.lost {
		if !r.isAnsweredBefore(c.at) {
			n.Waiting = append(n.Waiting, Waiting{Attempt: r.reg.Attempt, Blocks: r.reg.PromptBlocks})
		}
	}
	return n
}
