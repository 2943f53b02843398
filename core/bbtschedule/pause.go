package bbtschedule

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtverdict"
)

// MaxPause bounds for how long an endpoint keeps a host from sending it requests by one
// answer.
const MaxPause = time.Minute

// Pause reports that an endpoint has said in an answer to the sender that it wants no
// requests from it for a time. The zero value says nothing.
type Pause struct {
	Incarnation Incarnation   `cbor:"1,keyasint"`
	Remaining   time.Duration `cbor:"2,keyasint"`
}

// recordPause records that an endpoint wants no requests from a host.
func (s *Scheduler) recordPause(now time.Time, host bbtfleet.HostID, p Pause) {
	e := s.byID[p.Incarnation.Endpoint]
	if e == nil || p.Remaining <= 0 || incarnationOf(e.record).Succeeds(p.Incarnation) {
		return
	}
	for h, until := range e.hostPauses {
		if !now.Before(until) {
			delete(e.hostPauses, h)
		}
	}
	if e.hostPauses == nil {
		e.hostPauses = make(map[bbtfleet.HostID]time.Time)
	}
	until := later(e.hostPauses[host], now.Add(min(p.Remaining, MaxPause)))
	e.hostPauses[host] = until
	e.service.hostPausesEnd = later(e.service.hostPausesEnd, until)
}

// pausesHost reports whether the endpoint wants no requests from a host now.
func (e *endpoint) pausesHost(now time.Time, host bbtfleet.HostID) bool {
	return now.Before(e.hostPauses[host])
}

// pausedHosts returns the number of hosts that the endpoint wants no requests from now.
func (e *endpoint) pausedHosts(now time.Time) int {
	n := 0
	for _, until := range e.hostPauses {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// openTo returns the part of the slots of available endpoints that a host's requests may
// use, and how long it takes until they may use any.
func (sv *service) openTo(now time.Time, host bbtfleet.HostID) (part float64, wait time.Duration) {
	if !now.Before(sv.hostPausesEnd) {
		return 1, 0
	}
	all, open := 0, 0
	for _, e := range sv.endpoints {
		if !e.available(now) {
			continue
		}
		n := e.slots(1)
		all += n
		if !e.pausesHost(now, host) {
			open += n
			continue
		}
		if left := e.hostPauses[host].Sub(now); wait == 0 || left < wait {
			wait = left
		}
	}
	switch {
	case all == 0:
		return 1, 0
	case open == 0:
		return 1, wait
	default:
		return float64(open) / float64(all), 0
	}
}

// refusePaused refuses the queued requests of a host that would wait too long, since all
// available endpoints of their service want no requests from it.
func (s *Scheduler) refusePaused(now time.Time, host bbtfleet.HostID, sv *service) []Action {
	if _, wait := sv.openTo(now, host); wait == 0 {
		return nil
	}
	var out []Action
	for _, w := range sv.queue.all() {
		if w.key.host != host {
			continue
		}
		ahead, wait := sv.queuePosition(now, w)
		if sv.admits(now, w, wait) {
			continue
		}
		sv.queue.remove(w)
		out = append(out, s.refuseWaiter(now, w, Refusal{Reason: string(bbtverdict.ReasonPoolFull), Ahead: ahead, Wait: wait}))
	}
	return out
}
