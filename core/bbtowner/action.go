package bbtowner

import "bluebelltray/core/bbtfleet"

// Action is something the driver of an Elector has to do.
type Action interface{ action() }

// Send asks for a message to be sent to a host. It may be lost.
type Send struct {
	To      bbtfleet.HostID
	Message Message
}

// Acquired says that the host owns the endpoint from now on, as long as
// Elector.Holds says so.
type Acquired struct {
	Endpoint bbtfleet.EndpointID
	Fence    Fence
}

// Lost says that the host owns the endpoint no longer.
type Lost struct{ Endpoint bbtfleet.EndpointID }

func (Send) action()     {}
func (Acquired) action() {}
func (Lost) action()     {}
