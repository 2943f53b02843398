package bbtsuspect

import "bluebelltray/core/bbtfleet"

// Action is something the agent asks of its driver.
type Action interface{ action() }

// Admit lets a call be dispatched, freely or alone on its endpoint.
type Admit struct {
	Call         CallID
	DispatchMode DispatchMode
}

// Refuse refuses a call, as its request crashes endpoints.
type Refuse struct{ Call CallID }

// Send passes a message to a peer.
type Send struct {
	To      bbtfleet.HostID
	Message Message
}

func (Admit) action()  {}
func (Refuse) action() {}
func (Send) action()   {}
