package bbtexec

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbthome"
	"bluebelltray/core/bbtledger"
	"bluebelltray/core/bbtverdict"
)

// CallID names one call on this host: a caller's request or a call forwarded
// by a peer. The driver numbers its calls from one and never reuses a number.
type CallID uint64

// Event is something the driver tells the executor.
type Event interface{ event() }

// Submit is a caller's request on this host.
type Submit struct {
	Call           CallID
	Account        bbtfleet.AccountID
	Ticket         string // as the caller sent it; empty if none
	Key            string // the caller's idempotency key; empty if none
	Fingerprint    uint64 // digest of account, path and body
	IsFirstAttempt bool   // the caller states that it presented no ticket of this request before
	Uncounted      bool   // the caller does not count its attempts; it never sets IsFirstAttempt
	Repeatable     bool   // the contract allows the call to be repeated
}

// Received is a peer's message. Call must be a new number if the message is a
// ForwardRequest.
type Received struct {
	From    bbtfleet.HostID
	Call    CallID
	Message Message
}

// SendFailed says that a message was not sent: not one byte of it left.
type SendFailed struct {
	To      bbtfleet.HostID
	Message Message
}

// PeerIncarnation tells the incarnation of a peer's process, as learnt from it or from
// other peers.
type PeerIncarnation struct {
	Host        bbtfleet.HostID
	Incarnation bbtfleet.Incarnation
}

// PeerLost says that the connection to a peer ended or fell silent: no reply
// to an earlier message will come.
type PeerLost struct{ Host bbtfleet.HostID }

// NotExecuted says that a dispatch provably did not run: no byte was written, or
// the endpoint refused it explicitly. The call waits again.
type NotExecuted struct {
	Call     CallID
	Dispatch bbtledger.Dispatch
}

// Finished is an endpoint's whole answer.
type Finished struct {
	Call     CallID
	Dispatch bbtledger.Dispatch
	Response bbtledger.Response
}

// Lost says that a dispatch ended without a whole answer.
type Lost struct {
	Call     CallID
	Dispatch bbtledger.Dispatch
	Reason   bbtverdict.Reason
}

// Rejected is the scheduler's refusal of a call that waits.
type Rejected struct {
	Call       CallID
	Reason     bbtverdict.Reason
	RetryAfter time.Duration
}

// CallerDisconnected says that the caller, or the peer that forwarded its call, left.
type CallerDisconnected struct{ Call CallID }

// ViewConfirmed is the host list that the platform returned to a read asked
// for at Asked.
type ViewConfirmed struct {
	RequestedAt time.Time
	View        bbthome.View
}

// Drain starts a graceful shutdown: no ticket is issued any more.
type Drain struct{}

// Tick lets time pass. The driver sends it about once a second.
type Tick struct{}

func (Submit) event()             {}
func (Received) event()           {}
func (SendFailed) event()         {}
func (PeerIncarnation) event()    {}
func (PeerLost) event()           {}
func (NotExecuted) event()        {}
func (Finished) event()           {}
func (Lost) event()               {}
func (Rejected) event()           {}
func (CallerDisconnected) event() {}
func (ViewConfirmed) event()      {}
func (Drain) event()              {}
func (Tick) event()               {}
