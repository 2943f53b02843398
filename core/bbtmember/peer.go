package bbtmember

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// peer is what is known of one host of the host list.
type peer struct {
	id          bbtfleet.HostID
	state       State
	incarnation uint64
	round       uint32
	suspected   time.Time // when the state became Suspect
	unlisted    time.Time // when the host left the host list, zero while it is there
	contact     Contact
}

// change returns the peer's state as a Change.
func (p *peer) change() Change {
	return Change{Host: string(p.id), Incarnation: p.incarnation, Refutations: p.round, State: p.state}
}

// replacedBy reports whether c is newer than what is known of the peer.
func (p *peer) replacedBy(c Change) bool {
	if c.Incarnation != p.incarnation {
		return c.Incarnation > p.incarnation
	}
	if c.Refutations != p.round {
		return c.Refutations > p.round
	}
	return c.State > p.state
}
