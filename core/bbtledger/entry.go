package bbtledger

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// entry is the record of one ticket.
type entry struct {
	account     bbtfleet.AccountID
	expiry      time.Time
	state       State
	dispatch    Dispatch
	fingerprint uint64
	response    Response
}

// Dispatch numbers the dispatches of one ticket, starting from one. Zero means
// none.
type Dispatch uint32

// removable reports whether the entry can be removed once its retention ends.
func (e *entry) removable() bool { return e.state != Waiting && e.state != Dispatching }
