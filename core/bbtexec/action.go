package bbtexec

import (
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtledger"
	"bluebelltray/core/bbtverdict"
)

// Action is something the executor asks of its driver.
type Action interface{ action() }

// Run hands a call to the scheduler. The driver calls Dispatch immediately
// before the first byte leaves.
type Run struct{ Call CallID }

// Cancel withdraws a call from the scheduler; it was not dispatched. With a
// repeatable call a running dispatch is cancelled too.
type Cancel struct{ Call CallID }

// Answer delivers a whole answer to a caller of this host.
type Answer struct {
	Call   CallID
	Answer bbtledger.Response
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

func (Run) action()    {}
func (Cancel) action() {}
func (Answer) action() {}
func (Refuse) action() {}
func (Send) action()   {}
