package bbtmember

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtview"
)

// Action is something the driver of a Member has to do.
type Action interface{ action() }

// Send asks for a message to be sent to a host. It may be lost.
type Send struct {
	To      bbtfleet.HostID
	Message Message
}

// StateChanged says that a host's state is another from now on.
type StateChanged struct {
	Host  bbtfleet.HostID
	State State
}

// DigestReceived gives a peer's view. Asked is the local time at which the question
// was sent that it answers, zero if it answers none.
type DigestReceived struct {
	Host   bbtfleet.HostID
	Digest bbtview.Digest
	PingSentAt  time.Time
}

// NeighboursChanged says which hosts the Member probes from now on.
type NeighboursChanged struct{ Hosts []bbtfleet.HostID }

// HostDiscovered says that a host which is not in the host list was heard of, and whether
// the host itself was heard.
type HostDiscovered struct {
	Change Change
	Direct bool
}

// Paused says that the local process did not run for a while, so that what it
// knows must be confirmed before it is used.
type Paused struct{ Gap time.Duration }

func (Send) action()       {}
func (StateChanged) action()    {}
func (DigestReceived) action() {}
func (NeighboursChanged) action() {}
func (Paused) action()     {}
func (HostDiscovered) action()        {}
