package bbtexec

import (
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtledger"
	"bluebelltray/core/bbtverdict"
)

// Action is an instruction from the executor to its driver.
type Action interface{ action() }

// Schedule passes a call to the scheduler. The driver calls Executor.Dispatch
// immediately before the first byte is sent to the endpoint.
type Schedule struct{ Call CallID }

// Cancel removes from the scheduler a call that has not been dispatched. For a
// repeatable call it also cancels a running dispatch.
type Cancel struct{ Call CallID }

// Response delivers a complete response to a caller that is connected to this
// host.
type Response struct {
	Call     CallID
	Response bbtledger.Response
}

// Refuse ends a call of a caller that is connected to this host, without a
// response.
type Refuse struct {
	Call   CallID
	Err    *bbtverdict.Error
	Ticket string // the ticket to resend with; empty if none
}

// Send sends a message to a peer. For a ForwardRequest, Call is the call whose
// path and body are sent along; otherwise it is zero.
type Send struct {
	To      bbtfleet.HostID
	Call    CallID
	Message Message
}

func (Schedule) action() {}
func (Cancel) action()   {}
func (Response) action() {}
func (Refuse) action()   {}
func (Send) action()     {}
