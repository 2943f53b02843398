package bbtschedule

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtverdict"
)

// MaxPause bounds for how long an endpoint keeps a host from sending it requests by one
// answer.
const MaxPause = 24 * time.Hour

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
	e.hostPauses.add(now, host, now.Add(min(p.Remaining, MaxPause)))
	e.service.hostPausesEnd = later(e.service.hostPausesEnd, e.hostPauses.end(host))
}

// pausesHost reports whether the endpoint wants no requests from a host now, as it has
// said to the host or to all hosts that asked.
func (e *endpoint) pausesHost(now time.Time, host bbtfleet.HostID) bool {
	return now.Before(e.hostPauses.end(host))
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
		if left := e.hostPauses.end(host).Sub(now); wait == 0 || left < wait {
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
