package bbtexec

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbthome"
	"bluebelltray/core/bbtledger"
	"bluebelltray/core/bbtticket"
)

// call is the state of a call that has not ended.
type call struct {
	id             CallID
	account        bbtfleet.AccountID
	ticket         string
	key            bbtticket.KeyDigest
	fingerprint    uint64
	isFirstAttempt bool
	uncounted      bool
	repeatable     bool
	origin         origin
	callerGone     bool // the caller disconnected; the call is kept because it was scheduled for its ledger entry

	seq      uint64             // sequence number of the call's ledger entry; zero if none
	dispatch bbtledger.Dispatch // current dispatch of a repeatable call
	sentAt   time.Time          // when the pending message was sent
}

// claim returns the caller's statement about its earlier attempts.
func (c *call) claim() bbthome.Claim {
	switch {
	case c.isFirstAttempt:
		return bbthome.First
	case c.uncounted:
		return bbthome.Uncounted
	default:
		return bbthome.Resent
	}
}

// origin identifies the forwarded request that a call belongs to. The zero value
// stands for a caller that is connected to this host.
type origin struct {
	host    bbtfleet.HostID
	request Request
}

// local reports whether the caller is connected to this host.
func (o origin) local() bool { return o.host == "" }

// pendingReply is a message to a peer whose reply is outstanding.
type pendingReply struct {
	call CallID
	to   bbtfleet.HostID
}
