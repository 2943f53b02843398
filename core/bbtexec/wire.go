package bbtexec

import (
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbthome"
	"bluebelltray/core/bbtticket"
	"bluebelltray/core/bbtverdict"
)

// Message travels between hosts. Its fields are exported as the codec
// requires.
type Message interface{ message() }

// Request identifies a message's sender and its number there. A reply repeats
// it, so that a reply to a former process of the same host is recognised.
type Request struct {
	Incarnation bbtfleet.Incarnation `cbor:"1,keyasint"`
	ID          uint64               `cbor:"2,keyasint"`
}

// IssueRequest asks a key's home for a ticket.
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
	Presented    bool               `cbor:"6,keyasint,omitempty"` // the ticket was presented before: forward the call
}

// ForwardRequest passes a call to its executor. The call's path and body
// travel beside it. It does not say whether the caller presents its ticket for
// the first time, as the message itself may arrive twice, the second time at a
// later process of the host.
type ForwardRequest struct {
	Request     Request            `cbor:"1,keyasint"`
	Account     bbtfleet.AccountID `cbor:"2,keyasint"`
	Ticket      string             `cbor:"3,keyasint"`
	Fingerprint uint64             `cbor:"4,keyasint"`
}

// ForwardReply ends a forwarded call with an answer, if the status is not
// zero, or a refusal.
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

// ForwardCancel says that the caller of a forwarded call left.
type ForwardCancel struct {
	Request Request `cbor:"1,keyasint"`
}

func (IssueRequest) message()   {}
func (IssueReply) message()     {}
func (ForwardRequest) message() {}
func (ForwardReply) message()   {}
func (ForwardCancel) message()  {}
