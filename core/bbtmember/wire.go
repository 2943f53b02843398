package bbtmember

import "bluebelltray/core/bbtview"

// The messages below travel between hosts. Their fields are exported because
// the codec needs it.

// Message is a Ping, an Ack, a Relay or a Relayed.
type Message interface{ message() }

// Ping asks a host for an Ack.
type Ping struct {
	Seq         uint32         `cbor:"1,keyasint"`
	Incarnation uint64         `cbor:"2,keyasint"`           // of the sender's process
	Refutations       uint32         `cbor:"3,keyasint,omitempty"` // of the sender's process
	Digest      bbtview.Digest `cbor:"4,keyasint"`
	Changes     []Change       `cbor:"5,keyasint,omitempty"` // at most MaxChanges
}

// Ack answers the Ping of the same number.
type Ack struct {
	Seq         uint32         `cbor:"1,keyasint"`
	Incarnation uint64         `cbor:"2,keyasint"`           // of the sender's process
	Refutations       uint32         `cbor:"3,keyasint,omitempty"` // of the sender's process
	Digest      bbtview.Digest `cbor:"4,keyasint"`
	Changes     []Change       `cbor:"5,keyasint,omitempty"` // at most MaxChanges
}

// IndirectPing asks a host to probe another one and to pass its answer back.
type IndirectPing struct {
	Seq    uint32 `cbor:"1,keyasint"`
	Target string `cbor:"2,keyasint"`
}

// IndirectAck says that the target of the Relay of the same number has answered.
type IndirectAck struct {
	Seq uint32 `cbor:"1,keyasint"`
}

// Change is what is known of a host's process. A larger incarnation replaces a
// smaller one, then a larger round, then a larger state.
type Change struct {
	Host        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Refutations       uint32 `cbor:"3,keyasint,omitempty"` // raised by the process to refute a suspicion
	State       State  `cbor:"4,keyasint,omitempty"`
}

func (Ping) message()    {}
func (Ack) message()     {}
func (IndirectPing) message()   {}
func (IndirectAck) message() {}
