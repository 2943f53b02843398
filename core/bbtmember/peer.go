package bbtmember

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// peer is the record of a host that is or was in the host list.
type peer struct {
	id          bbtfleet.HostID
	state       State
	incarnation uint64
	refutations uint32
	suspectedAt time.Time // when the state became Suspect
	unlistedAt  time.Time // when the host left the host list, zero if it has not
	contact     Contact
}

// change returns the peer's state as a Change.
func (p *peer) change() Change {
	return Change{Host: string(p.id), Incarnation: p.incarnation, Refutations: p.refutations, State: p.state}
}

// replacedBy reports whether c is newer than the recorded state of the peer.
func (p *peer) replacedBy(c Change) bool {
	if c.Incarnation != p.incarnation {
		return c.Incarnation > p.incarnation
	}
	if c.Refutations != p.refutations {
		return c.Refutations > p.refutations
	}
	return c.State > p.state
}
