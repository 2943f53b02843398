package bbtdaemon

import (
	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtlimit"
	"bluebelltray/core/bbtmember"
	"bluebelltray/core/bbtsuspect"
	"bluebelltray/core/bbtview"
	"bluebelltray/io/bbtpeer"
)

// NewCodec returns the codec of all messages between daemons. The order of the
// types is part of the protocol: append new types at the end.
func NewCodec() (*bbtpeer.Codec, error) {
	return bbtpeer.NewCodec(
		bbtgrant.Registration{},
		bbtgrant.Withdrawal{},
		bbtgrant.Return{},
		bbtgrant.DispatchEnded{},
		bbtgrant.Permit{},
		bbtgrant.Shed{},
		bbtview.Digest{},
		bbtview.Query{},
		bbtview.Reply{},
		bbtmember.Ping{},
		bbtmember.Ack{},
		bbtmember.IndirectPing{},
		bbtmember.IndirectAck{},
		ForwardedCall{},
		bbtexec.ForwardReply{},
		bbtexec.ForwardCancel{},
		bbtexec.IssueRequest{},
		bbtexec.IssueReply{},
		bbtlimit.Message{},
		bbtsuspect.Claim{},
		bbtsuspect.ClaimResponse{},
		bbtsuspect.Release{},
		bbtsuspect.Notice{},
	)
}
