package bbtmember

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtview"
)

// Action is an operation that the caller of a Detector method must perform, or an
// event that the method reports.
type Action interface{ action() }

// Send requests the transmission of a message to a host. The message may be
// lost.
type Send struct {
	To      bbtfleet.HostID
	Message Message
}

// StateChanged reports the new state of a host.
type StateChanged struct {
	Host  bbtfleet.HostID
	State State
}

// DigestReceived reports the digest of a peer's view. PingSentAt is the local
// time at which the Ping was sent that the peer answered, zero if the digest did
// not come with an answer.
type DigestReceived struct {
	Host       bbtfleet.HostID
	Digest     bbtview.Digest
	PingSentAt time.Time
}

// NeighboursChanged reports the new set of hosts that the Detector probes.
type NeighboursChanged struct{ Hosts []bbtfleet.HostID }

// HostDiscovered reports a host that is not in the host list. Direct is set if
// the host itself sent a message, rather than being mentioned by another one.
type HostDiscovered struct {
	Change Change
	Direct bool
}

// Paused reports that the local process did not run for the duration Gap. The
// state that it holds may be stale and must be confirmed before use.
type Paused struct{ Gap time.Duration }

func (Send) action()              {}
func (StateChanged) action()      {}
func (DigestReceived) action()    {}
func (NeighboursChanged) action() {}
func (Paused) action()            {}
func (HostDiscovered) action()    {}
