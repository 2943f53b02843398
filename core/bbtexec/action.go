package bbtexec

import (
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtledger"
	"bluebelltray/core/bbtverdict"
)

// Action is something the executor asks of its driver.
type Action interface{ action() }

// Schedule hands a call to the scheduler. The driver calls Dispatch immediately
// before the first byte leaves.
type Schedule struct{ Call CallID }

// Cancel withdraws a call from the scheduler; it was not dispatched. With a
// repeatable call a running dispatch is cancelled too.
type Cancel struct{ Call CallID }

// Response delivers a whole answer to a caller of this host.
type Response struct {
	Call   CallID
	Response bbtledger.Response
}

// Refuse ends a call of this host without an answer.
type Refuse struct {
	Call   CallID
	Err    *bbtverdict.Error
	Ticket string // the ticket to resend with; empty if none
}

// Send passes a message to a peer. Call is the caller's request whose path and
// body go along with a ForwardRequest, and zero otherwise.
type Send struct {
	To      bbtfleet.HostID
	Call    CallID
	Message Message
}

func (Schedule) action()    {}
func (Cancel) action() {}
func (Response) action() {}
func (Refuse) action() {}
func (Send) action()   {}
