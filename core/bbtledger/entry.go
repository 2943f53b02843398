package bbtledger

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// entry is one ticket of the ledger.
type entry struct {
	account     bbtfleet.AccountID
	expiry      time.Time
	state       State
	dispatch    Dispatch
	fingerprint uint64
	answer      Response
}

// Dispatch tells one dispatch of a ticket from the next. Zero means none.
type Dispatch uint32

// settled reports whether the entry can be removed once its time is over.
func (e *entry) settled() bool { return e.state != Waiting && e.state != Dispatching }
