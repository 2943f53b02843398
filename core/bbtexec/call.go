package bbtexec

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbthome"
	"bluebelltray/core/bbtledger"
	"bluebelltray/core/bbtticket"
)

// call is one call that is not yet over.
type call struct {
	id          CallID
	account     bbtfleet.AccountID
	ticket      string
	key         bbtticket.KeyDigest
	fingerprint uint64
	first       bool
	uncounted   bool
	repeatable  bool
	origin      origin
	gone        bool // the caller left; the call only runs on for its ledger entry

	seq      uint64             // ledger entry the call waits for; zero if none
	dispatch bbtledger.Dispatch // current dispatch of a repeatable call
	asked    time.Time          // when the pending message was sent
}

// claim returns what the caller says about its attempts.
func (c *call) claim() bbthome.Claim {
	switch {
	case c.first:
		return bbthome.First
	case c.uncounted:
		return bbthome.Uncounted
	default:
		return bbthome.Resent
	}
}

// origin is the peer that forwarded a call; the zero value is a caller of this
// host.
type origin struct {
	host    bbtfleet.HostID
	request Request
}

// local reports whether the caller is connected to this host.
func (o origin) local() bool { return o.host == "" }

// pending is a message to a peer that awaits its reply.
type pending struct {
	call CallID
	to   bbtfleet.HostID
}
