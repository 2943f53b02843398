package bbtqueue

import (
	"cmp"
	"time"

	"bluebelltray/core/bbtfleet"
)

// Key identifies a waiting request by the entry host that registered it and
// that host's number for it.
type Key struct {
	Host    bbtfleet.HostID
	Request uint64
}

// Compare orders keys by host, then by number.
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Host, other.Host), cmp.Compare(k.Request, other.Request))
}

// Item is a waiting request.
type Item struct {
	Key      Key
	Tier     bbtfleet.Tier
	Account  bbtfleet.AccountID
	Deadline time.Time
	Cost     float64 // expected work in tokens
}

// compareItems orders the requests of one account by deadline, then by key.
func compareItems(a, b Item) int {
	return cmp.Or(a.Deadline.Compare(b.Deadline), a.Key.Compare(b.Key))
}
