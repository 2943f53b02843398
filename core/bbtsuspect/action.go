package bbtsuspect

import "bluebelltray/core/bbtfleet"

// Action is an effect that the agent asks its driver to carry out.
type Action interface{ action() }

// Admit allows a call to be dispatched in the given mode.
type Admit struct {
	Call         CallID
	DispatchMode DispatchMode
}

// Refuse rejects a call because its request crashes endpoints.
type Refuse struct{ Call CallID }

// Send passes a message to a peer.
type Send struct {
	To      bbtfleet.HostID
	Message Message
}

func (Admit) action()  {}
func (Refuse) action() {}
func (Send) action()   {}
