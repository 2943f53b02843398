package bbtroute

import (
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtverdict"
)

// Action is a step that an Entry asks its driver to take: a Send, a Dispatch, a
// Stop, or a Refuse.
type Action interface{ action() }

// Send sends a message to a host, which may be the entry host itself.
type Send struct {
	To      bbtfleet.HostID
	Message bbtgrant.Message
}

// Dispatch sends the request to the endpoint now.
type Dispatch struct {
	Request  bbtgrant.RequestID
	Endpoint bbtfleet.EndpointID
	Permit   bbtgrant.Permit
}

// Stop cancels a running dispatch. The driver must still call Finished, with the
// outcome of the dispatch.
type Stop struct {
	Request bbtgrant.RequestID
}

// Refuse ends the request with an error.
type Refuse struct {
	Request bbtgrant.RequestID
	Err     *bbtverdict.Error
}

func (Send) action()     {}
func (Dispatch) action() {}
func (Stop) action()     {}
func (Refuse) action()   {}
