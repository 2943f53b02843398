package bbtedge

import (
	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtmember"
	"bluebelltray/core/bbtschedule"
	"bluebelltray/io/bbtpeer"
)

// The messages below are exchanged by hosts. The codec needs exported fields.

// MembershipSnapshot holds the states of all hosts known to the sender.
type MembershipSnapshot struct {
	Hosts []bbtmember.Change `cbor:"1,keyasint"`
}

// UpdateRequest asks a host for the catalog changes after a position, and for a
// configuration of a higher version.
type UpdateRequest struct {
	Revision uint64 `cbor:"1,keyasint"`
	Era      uint64 `cbor:"2,keyasint,omitempty"`
	Version  int64  `cbor:"3,keyasint,omitempty"` // of the configuration in force
}

// NewCodec returns a codec for all messages between edges.
func NewCodec() (*bbtpeer.Codec, error) {
	return bbtpeer.NewCodec(
		bbtmember.Ping{}, bbtmember.Ack{}, bbtmember.IndirectPing{}, bbtmember.IndirectAck{},
		bbtschedule.Registration{}, bbtschedule.Withdrawal{}, bbtschedule.Permit{}, bbtschedule.Refusal{},
		bbtschedule.FirstEvent{}, bbtschedule.Done{}, bbtschedule.Takeover{}, bbtschedule.Probe{}, bbtschedule.ProbeReply{},
		bbtcatalog.Update{}, MembershipSnapshot{}, UpdateRequest{})
}
