package bbtmember

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// probe is a Ping, or a set of IndirectPings, that has not been answered yet.
type probe struct {
	seq        uint32
	target     bbtfleet.HostID
	sentAt     time.Time
	indirect   bool            // other hosts have been asked to probe the target
	requester  bbtfleet.HostID // host that requested the probe, empty if none
	requestSeq uint32          // sequence number of the requester's IndirectPing
}

// probes holds the unanswered probes in order of their sequence numbers.
type probes struct {
	lastSeq uint32
	pending []probe
}

// add records a probe and returns its sequence number.
func (p *probes) add(pr probe) uint32 {
	p.lastSeq++
	pr.seq = p.lastSeq
	p.pending = append(p.pending, pr)
	return pr.seq
}

// remove removes and returns the probe with the sequence number.
func (p *probes) remove(seq uint32) (probe, bool) {
	for i, pr := range p.pending {
		if pr.seq == seq {
			p.pending = append(p.pending[:i], p.pending[i+1:]...)
			return pr, true
		}
	}
	return probe{}, false
}

// expire removes and returns the probes sent before t.
func (p *probes) expire(t time.Time) []probe {
	n := 0
	for n < len(p.pending) && p.pending[n].sentAt.Before(t) {
		n++
	}
	out := append([]probe(nil), p.pending[:n]...)
	p.pending = append(p.pending[:0], p.pending[n:]...)
	return out
}

// clear discards all probes.
func (p *probes) clear() { p.pending = nil }
