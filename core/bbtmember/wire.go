package bbtmember

import "bluebelltray/core/bbtview"

// The types below are sent between hosts. The codec needs exported fields.

// Message is a Ping, an Ack, an IndirectPing or an IndirectAck.
type Message interface{ message() }

// Ping asks a host for an Ack.
type Ping struct {
	Seq         uint32         `cbor:"1,keyasint"`
	Incarnation uint64         `cbor:"2,keyasint"`           // of the sender's process
	Refutations uint32         `cbor:"3,keyasint,omitempty"` // of the sender's process
	Digest      bbtview.Digest `cbor:"4,keyasint"`
	Changes     []Change       `cbor:"5,keyasint,omitempty"` // at most MaxChanges
}

// Ack answers the Ping with the same sequence number.
type Ack struct {
	Seq         uint32         `cbor:"1,keyasint"`
	Incarnation uint64         `cbor:"2,keyasint"`           // of the sender's process
	Refutations uint32         `cbor:"3,keyasint,omitempty"` // of the sender's process
	Digest      bbtview.Digest `cbor:"4,keyasint"`
	Changes     []Change       `cbor:"5,keyasint,omitempty"` // at most MaxChanges
}

// IndirectPing asks a host to probe another one and to report the answer with an
// IndirectAck.
type IndirectPing struct {
	Seq    uint32 `cbor:"1,keyasint"`
	Target string `cbor:"2,keyasint"`
}

// IndirectAck reports that the target of the IndirectPing with the same sequence
// number has answered.
type IndirectAck struct {
	Seq uint32 `cbor:"1,keyasint"`
}

// Change is an update of the state of a host's process. A larger incarnation
// replaces a smaller one; for equal incarnations the larger number of
// refutations decides, then the larger state.
type Change struct {
	Host        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Refutations uint32 `cbor:"3,keyasint,omitempty"` // incremented by the process to refute a suspicion
	State       State  `cbor:"4,keyasint,omitempty"`
}

func (Ping) message()         {}
func (Ack) message()          {}
func (IndirectPing) message() {}
func (IndirectAck) message()  {}
