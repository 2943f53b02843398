// Package bbthome decides whether a host may issue a ticket for a client
// account's idempotency key, so that no two tickets of one key can both be
// dispatched. A caller that counts its attempts gets its first ticket from any
// host, and none later unless that one is known not to have run. For callers
// that do not count, the key's home, found by rendezvous hashing over the host
// list, alone issues tickets and remembers them; a host that became home a
// short time ago cannot know of earlier ones and says so.
package bbthome

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtticket"
)

// Home is one host's memory of the keys it is home of. It is not safe for
// concurrent use.
type Home struct {
	self   bbtfleet.HostID
	rank   HomeSelector
	lag    time.Duration
	lease  time.Duration
	window time.Duration
	drift  float64

	epochs    []epoch   // successive views, newest last
	confirmed time.Time // when the newest confirmation was asked for
	records   map[Key]record
	order     []remembered
}

// epoch is the time during which one view was in force on this host.
type epoch struct {
	view View
	from time.Time
}

// Key identifies an idempotency key of the fleet.
type Key struct {
	account bbtfleet.AccountID
	digest  bbtticket.KeyDigest
}

// NewKey returns the identity of an account's key.
func NewKey(a bbtfleet.AccountID, d bbtticket.KeyDigest) Key { return Key{account: a, digest: d} }

// Account returns the client account.
func (k Key) Account() bbtfleet.AccountID { return k.account }

// Digest returns the key's digest.
func (k Key) Digest() bbtticket.KeyDigest { return k.digest }

// New returns the memory of a host that has just started.
func New(self bbtfleet.HostID, rank HomeSelector, opts ...Option) *Home {
	h := &Home{
		self:    self,
		rank:    rank,
		lag:     DefaultMaxLag,
		lease:   DefaultLease,
		window:  DefaultResendWindow,
		drift:   DefaultMaxDrift,
		records: make(map[Key]record),
	}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// Confirm takes a view that the platform returned to a read asked for at
// asked. A view older than the newest known confirms nothing.
func (h *Home) Confirm(now, asked time.Time, v View) {
	if n := len(h.epochs); n == 0 || v.revision > h.epochs[n-1].view.revision {
		h.enter(now, v)
	} else if v.revision < h.epochs[n-1].view.revision {
		return
	}
	if asked.After(h.confirmed) {
		h.confirmed = asked
	}
}

// enter makes v the newest view. After a skipped revision nothing is known of
// who was home in between, so the history starts anew.
func (h *Home) enter(now time.Time, v View) {
	if n := len(h.epochs); n > 0 && v.revision != h.epochs[n-1].view.revision+1 {
		h.epochs = h.epochs[:0]
	}
	if len(h.epochs) == maxEpochs {
		h.epochs = append(h.epochs[:0], h.epochs[1:]...)
	}
	h.epochs = append(h.epochs, epoch{view: v, from: now})
	h.forgetEpochs(now)
}

// forgetEpochs drops the views that no decision can reach any more.
func (h *Home) forgetEpochs(now time.Time) {
	horizon := now.Add(-h.SettleTime())
	for len(h.epochs) > 1 && !h.epochs[1].from.After(horizon) {
		h.epochs = h.epochs[1:]
	}
}

// Revision returns the revision of the newest view; zero means none.
func (h *Home) Revision() bbtfleet.Revision {
	if n := len(h.epochs); n > 0 {
		return h.epochs[n-1].view.revision
	}
	return 0
}

// HomeOf returns the key's home in the newest view, or an empty name.
func (h *Home) HomeOf(k Key) bbtfleet.HostID {
	if n := len(h.epochs); n > 0 {
		return h.rank.of(h.epochs[n-1].view.hosts, uint64(k.digest))
	}
	return ""
}

// since returns the time from which this host has been the key's home without
// a break, and whether it is home now.
func (h *Home) since(k Key) (time.Time, bool) {
	var from time.Time
	home := false
	for i := len(h.epochs) - 1; i >= 0; i-- {
		if h.rank.of(h.epochs[i].view.hosts, uint64(k.digest)) != h.self {
			break
		}
		from = h.epochs[i].from
		home = true
	}
	return from, home
}
