// Package bbthome decides whether a host may issue a ticket for a client
// account's idempotency key, so that at most one ticket of a key is dispatched.
// A caller that counts its attempts gets its first ticket from any host, and a
// later one only if the first is known not to have run. For callers that do not
// count, only the key's home issues and records tickets. The home is found by
// rendezvous hashing over the host list, which the platform that the fleet is
// deployed on publishes. A host that became the home recently may not know of
// earlier tickets, and therefore issues none until its settle time has passed.
package bbthome

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtticket"
)

// Registry holds one host's records of the idempotency keys that it issued
// tickets for. It is not safe for concurrent use.
type Registry struct {
	self         bbtfleet.HostID
	selector     HomeSelector
	maxLag       time.Duration
	lease        time.Duration
	resendWindow time.Duration
	maxDrift     float64

	epochs    []epoch   // consecutive revisions, newest last
	confirmed time.Time // request time of the newest read that confirmed the view
	records   map[Key]record
	issuances []issuance // oldest first; may hold keys with a newer ticket
}

// epoch is the period in which one view was current on this host.
type epoch struct {
	view View
	from time.Time
}

// Key identifies an idempotency key within the fleet.
type Key struct {
	account bbtfleet.AccountID
	digest  bbtticket.KeyDigest
}

// NewKey returns the Key of an account's idempotency key with the given digest.
func NewKey(a bbtfleet.AccountID, d bbtticket.KeyDigest) Key { return Key{account: a, digest: d} }

// Account returns the client account.
func (k Key) Account() bbtfleet.AccountID { return k.account }

// Digest returns the digest of the idempotency key.
func (k Key) Digest() bbtticket.KeyDigest { return k.digest }

// New returns a Registry without records, for a process that has just started.
func New(self bbtfleet.HostID, selector HomeSelector, opts ...Option) *Registry {
	h := &Registry{
		self:         self,
		selector:     selector,
		maxLag:       DefaultMaxLag,
		lease:        DefaultLease,
		resendWindow: DefaultResendWindow,
		maxDrift:     DefaultMaxDrift,
		records:      make(map[Key]record),
	}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// Confirm records a view that the platform returned for a read requested at
// requestedAt. If requestedAt is zero, the view may come from a peer and does not
// renew the lease. A view older than the newest known one has no effect.
func (h *Registry) Confirm(now, requestedAt time.Time, v View) {
	if n := len(h.epochs); n == 0 || v.revision > h.epochs[n-1].view.revision {
		h.addView(now, v)
	} else if v.revision < h.epochs[n-1].view.revision {
		return
	}
	if requestedAt.After(h.confirmed) {
		h.confirmed = requestedAt
	}
}

// addView makes v the newest view. If a revision was skipped, the home in
// between is unknown, so the earlier views are discarded.
func (h *Registry) addView(now time.Time, v View) {
	if n := len(h.epochs); n > 0 && v.revision != h.epochs[n-1].view.revision+1 {
		h.epochs = h.epochs[:0]
	}
	if len(h.epochs) == maxEpochs {
		h.epochs = append(h.epochs[:0], h.epochs[1:]...)
	}
	h.epochs = append(h.epochs, epoch{view: v, from: now})
	h.pruneEpochs(now)
}

// pruneEpochs removes views that are too old to affect a decision: their
// successor has been current for the settle time.
func (h *Registry) pruneEpochs(now time.Time) {
	horizon := now.Add(-h.SettleTime())
	for len(h.epochs) > 1 && !h.epochs[1].from.After(horizon) {
		h.epochs = h.epochs[1:]
	}
}

// Revision returns the revision of the newest view, or zero if there is none.
func (h *Registry) Revision() bbtfleet.Revision {
	if n := len(h.epochs); n > 0 {
		return h.epochs[n-1].view.revision
	}
	return 0
}

// HomeOf returns the key's home in the newest view, or an empty ID if there is
// none.
func (h *Registry) HomeOf(k Key) bbtfleet.HostID {
	if n := len(h.epochs); n > 0 {
		return h.selector.selectHome(h.epochs[n-1].view.hosts, uint64(k.digest))
	}
	return ""
}

// homeSince returns the time since which this host has been the key's home
// without interruption, and whether it is the home now.
func (h *Registry) homeSince(k Key) (time.Time, bool) {
	var from time.Time
	isHome := false
	for i := len(h.epochs) - 1; i >= 0; i-- {
		if h.selector.selectHome(h.epochs[i].view.hosts, uint64(k.digest)) != h.self {
			break
		}
		from = h.epochs[i].from
		isHome = true
	}
	return from, isHome
}
