package bbtmember

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// probe is a Ping without an answer yet.
type probe struct {
	seq     uint32
	target  bbtfleet.HostID
	sent    time.Time
	relayed bool            // others have been asked to probe the target
	asker   bbtfleet.HostID // host that asked for the probe, empty if none
	askSeq  uint32          // number of the asker's Relay
}

// probes holds the unanswered probes in the order of their numbers.
type probes struct {
	last uint32
	open []probe
}

// add records a Ping to the target and returns its number.
func (p *probes) add(pr probe) uint32 {
	p.last++
	pr.seq = p.last
	p.open = append(p.open, pr)
	return pr.seq
}

// take removes and returns the probe of the number.
func (p *probes) take(seq uint32) (probe, bool) {
	for i, pr := range p.open {
		if pr.seq == seq {
			p.open = append(p.open[:i], p.open[i+1:]...)
			return pr, true
		}
	}
	return probe{}, false
}

// expire removes and returns the probes sent before t.
func (p *probes) expire(t time.Time) []probe {
	n := 0
	for n < len(p.open) && p.open[n].sent.Before(t) {
		n++
	}
	out := append([]probe(nil), p.open[:n]...)
	p.open = append(p.open[:0], p.open[n:]...)
	return out
}

// clear forgets all probes.
func (p *probes) clear() { p.open = nil }
