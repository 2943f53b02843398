package bbtexec

import (
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbthome"
	"bluebelltray/core/bbtticket"
	"bluebelltray/core/bbtverdict"
)

// Message is a message between hosts. The fields of all messages are exported,
// as the codec requires.
type Message interface{ message() }

// Request identifies a request message by its sender's incarnation and a number
// that is unique there. The reply repeats it, so that a reply meant for a
// previous process of the same host is recognised.
type Request struct {
	Incarnation bbtfleet.Incarnation `cbor:"1,keyasint"`
	ID          uint64               `cbor:"2,keyasint"`
}

// IssueRequest asks the home of a key for a ticket.
type IssueRequest struct {
	Request Request             `cbor:"1,keyasint"`
	Account bbtfleet.AccountID  `cbor:"2,keyasint"`
	Key     bbtticket.KeyDigest `cbor:"3,keyasint"`
	Claim   bbthome.Claim       `cbor:"4,keyasint,omitempty"`
}

// IssueReply answers an IssueRequest.
type IssueReply struct {
	Request      Request            `cbor:"1,keyasint"`
	Verdict      bbtverdict.Verdict `cbor:"2,keyasint,omitempty"`
	Reason       bbtverdict.Reason  `cbor:"3,keyasint,omitempty"`
	RetryAfterMS int64              `cbor:"4,keyasint,omitempty"`
	Ticket       string             `cbor:"5,keyasint,omitempty"`
	Redeemed     bool               `cbor:"6,keyasint,omitempty"` // the ticket was redeemed before, so the call must be forwarded to its executor
}

// ForwardRequest forwards a call to its executor. The call's path and body are
// sent along with it. It does not state whether the caller sends its ticket for
// the first time, because the message itself may arrive twice, the second time at
// a newer process of the host.
type ForwardRequest struct {
	Request     Request            `cbor:"1,keyasint"`
	Account     bbtfleet.AccountID `cbor:"2,keyasint"`
	Ticket      string             `cbor:"3,keyasint"`
	Fingerprint uint64             `cbor:"4,keyasint"`
}

// ForwardReply ends a forwarded call, with a response if Status is not zero and
// with a refusal otherwise.
type ForwardReply struct {
	Request      Request            `cbor:"1,keyasint"`
	Verdict      bbtverdict.Verdict `cbor:"2,keyasint,omitempty"`
	Reason       bbtverdict.Reason  `cbor:"3,keyasint,omitempty"`
	RetryAfterMS int64              `cbor:"4,keyasint,omitempty"`
	Ticket       string             `cbor:"5,keyasint,omitempty"`
	Status       int                `cbor:"6,keyasint,omitempty"`
	ContentType  string             `cbor:"7,keyasint,omitempty"`
	Body         []byte             `cbor:"8,keyasint,omitempty"`
}

// ForwardCancel reports that the caller of a forwarded call disconnected.
type ForwardCancel struct {
	Request Request `cbor:"1,keyasint"`
}

func (IssueRequest) message()   {}
func (IssueReply) message()     {}
func (ForwardRequest) message() {}
func (ForwardReply) message()   {}
func (ForwardCancel) message()  {}
