package bbtexec

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbthome"
	"bluebelltray/core/bbtledger"
	"bluebelltray/core/bbtverdict"
)

// CallID identifies a call on this host: a caller's request or a call that a
// peer forwarded. The driver numbers calls from one and never reuses a number.
type CallID uint64

// Event is an input from the driver to the executor.
type Event interface{ event() }

// Submit is a request of a caller that is connected to this host.
type Submit struct {
	Call           CallID
	Account        bbtfleet.AccountID
	Ticket         string // as the caller sent it; empty if none
	Key            string // the caller's idempotency key; empty if none
	Fingerprint    uint64 // digest of account, path and body
	IsFirstAttempt bool   // the caller states that it sent no ticket for this request before, or only ones refused as not run
	Uncounted      bool   // the caller does not count its attempts and therefore never sets IsFirstAttempt
	Repeatable     bool   // the contract allows the request to run more than once, so it needs no ticket
}

// MessageReceived is a message from a peer. Call must be a new number if the message
// is a ForwardRequest.
type MessageReceived struct {
	From    bbtfleet.HostID
	Call    CallID
	Message Message
}

// SendFailed reports that no byte of a message was sent.
type SendFailed struct {
	To      bbtfleet.HostID
	Message Message
}

// PeerIncarnation reports the incarnation of a peer's process, learnt from the
// peer itself or from another one.
type PeerIncarnation struct {
	Host        bbtfleet.HostID
	Incarnation bbtfleet.Incarnation
}

// PeerLost reports that the connection to a peer closed or timed out. No reply
// to an earlier message will arrive.
type PeerLost struct{ Host bbtfleet.HostID }

// NotExecuted reports that a dispatch provably did not run: no byte was written,
// or the endpoint refused it explicitly. The call waits again.
type NotExecuted struct {
	Call     CallID
	Dispatch bbtledger.Dispatch
}

// Finished is the complete response of an endpoint to a dispatch.
type Finished struct {
	Call     CallID
	Dispatch bbtledger.Dispatch
	Response bbtledger.Response
}

// Lost reports that a dispatch ended without a complete response, so that the
// request may have run.
type Lost struct {
	Call     CallID
	Dispatch bbtledger.Dispatch
	Reason   bbtverdict.Reason
}

// Rejected reports that the scheduler refused a waiting call.
type Rejected struct {
	Call       CallID
	Reason     bbtverdict.Reason
	RetryAfter time.Duration
}

// CallerDisconnected reports that the caller disconnected, or that the peer
// which forwarded the call cancelled it.
type CallerDisconnected struct{ Call CallID }

// ViewConfirmed is a view of the host list. The platform that the fleet is
// deployed on publishes the list. RequestedAt is when the read from the platform
// was requested; it is zero if the list may come from a peer, which does not
// renew the host's lease.
type ViewConfirmed struct {
	RequestedAt time.Time
	View        bbthome.View
}

// Drain starts a graceful shutdown. No more tickets are issued.
type Drain struct{}

// Tick resends queued replies and triggers the time-outs. The driver sends it
// about once a second.
type Tick struct{}

func (Submit) event()             {}
func (MessageReceived) event()    {}
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
