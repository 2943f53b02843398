package bbtschedule

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// MaxPending bounds the registrations of a Probe.
const MaxPending = 64

// Pending handles the registrations that a host has had no reply to. It returns the
// permits and refusals that were sent before, and the registrations that are unknown
// here, which the host has to repeat.
func (s *Scheduler) Pending(now time.Time, from bbtfleet.HostID, list []Pending) ([]Action, []Pending) {
	var out []Action
	var unknown []Pending
	for _, p := range list[:min(len(list), MaxPending)] {
		again, known := s.known(now, key{from, p.ID}, p.Attempt)
		out = append(out, again...)
		if !known {
			unknown = append(unknown, p)
		}
	}
	return out, unknown
}

// known reports whether a registration, or a later one of the same request, has
// arrived before. It returns the permit or the refusal that answered it.
func (s *Scheduler) known(now time.Time, k key, attempt int) ([]Action, bool) {
	if r := s.runs[k]; r != nil && r.reg.Attempt >= attempt {
		if r.reg.Attempt > attempt || r.adopted {
			return nil, true
		}
		r.repeated = true
		return []Action{{k.host, r.permit()}}, true
	}
	if w := s.waiterOf(k); w != nil && w.reg.Attempt >= attempt {
		return nil, true
	}
	done, ok := s.settled.of(now, k)
	switch {
	case !ok || attempt > done.attempt || attempt == done.attempt && done.forgotten:
		return nil, false
	case attempt < done.attempt:
		return nil, true
	default:
		return done.reply(now, k), true
	}
}

// waiterOf returns a queued request, nil if it is not queued.
func (s *Scheduler) waiterOf(k key) *waiter {
	for _, sv := range s.services {
		if w := sv.queue.byKey[k]; w != nil {
			return w
		}
	}
	return nil
}

// drop removes a request from the queue and reclaims what it used. It reports whether the
// request was queued.
func (s *Scheduler) drop(now time.Time, k key) bool {
	for _, sv := range s.services {
		if w := sv.queue.byKey[k]; w != nil {
			sv.queue.remove(w)
			s.reclaim(now, w)
			return true
		}
	}
	return false
}

// permit returns the permit of the run.
func (r *run) permit() Permit {
	e := r.endpoint
	return Permit{ID: r.key.id, Attempt: r.reg.Attempt, Endpoint: e.record.ID, Address: e.record.Address, SpeedEstimate: e.speed(), Running: len(e.running),
		StartTimeMS: e.record.StartTimeMS}
}
