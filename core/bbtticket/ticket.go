// Package bbtticket issues and verifies tickets, which ensure that a
// non-idempotent request runs at most once. A ticket names one process as the
// executor of the request. No other process may dispatch the request, and only
// the executor can verify the ticket's authentication code.
package bbtticket

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// Ticket is the decoded form of a ticket. A ticket from Parse is unverified
// and must only be used to find the executor.
type Ticket struct {
	host        bbtfleet.HostID
	incarnation bbtfleet.Incarnation
	sequence    uint64
	account     bbtfleet.AccountID
	key         KeyDigest
	expiry      time.Duration
}

// Host returns the executor's host.
func (t Ticket) Host() bbtfleet.HostID { return t.host }

// Incarnation returns the executor's incarnation.
func (t Ticket) Incarnation() bbtfleet.Incarnation { return t.incarnation }

// Sequence returns the ticket's sequence number in the executor's ledger.
func (t Ticket) Sequence() uint64 { return t.sequence }

// Account returns the client account that the ticket was issued to.
func (t Ticket) Account() bbtfleet.AccountID { return t.account }

// Key returns the digest of the caller's idempotency key; zero means none.
func (t Ticket) Key() KeyDigest { return t.key }

// Expiry returns the time from the executor's start to the ticket's expiry.
// Other processes cannot interpret it, as they do not know the start.
func (t Ticket) Expiry() time.Duration { return t.expiry }
