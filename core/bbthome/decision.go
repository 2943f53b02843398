package bbthome

import "time"

// Permission is the decision whether a ticket may be issued for a key.
type Permission uint8

// The permissions. The zero value is the most restrictive one.
const (
	Unsettled Permission = iota // a request with another ticket of the key may have run
	NotHome                     // this host is not the key's home in its newest view, or has no view
	Allowed                     // no request with a ticket of another process ran or can still run
)

// String returns the permission's name in kebab case.
func (p Permission) String() string {
	switch p {
	case NotHome:
		return "not-home"
	case Allowed:
		return "allowed"
	default:
		return "unsettled"
	}
}

// Decide decides whether a ticket may be issued for a key. It must not be called
// if a ticket that this host issued for the key was redeemed. A first attempt is
// allowed on any host and at any time, as no earlier attempt can have run. A
// resend is not allowed, as its caller may have sent a ticket of another host.
// For a caller that does not count its attempts, the records of the key's home
// decide.
func (h *Registry) Decide(now time.Time, k Key, c Claim) Permission {
	switch c {
	case First:
		return Allowed
	case Uncounted:
		return h.decideUncounted(now, k)
	default:
		return Unsettled
	}
}

// decideUncounted decides by this host's records. They are complete only if it
// has been the key's home for the settle time, its lease has not expired, and the
// key is not recorded for a caller that counts its attempts, as such a caller may
// have a ticket of another host.
func (h *Registry) decideUncounted(now time.Time, k Key) Permission {
	since, isHome := h.homeSince(k)
	switch {
	case !isHome:
		return NotHome
	case now.Sub(h.confirmed) >= h.lease || now.Sub(since) < h.SettleTime():
		return Unsettled
	case h.records[k].counted:
		return Unsettled
	}
	return Allowed
}

// Renewable reports whether a new ticket may replace the key's void ticket with
// the given sequence number.
func (h *Registry) Renewable(now time.Time, k Key, sequence uint64) bool {
	h.Expire(now)
	r, known := h.records[k]
	if !known || r.sequence != sequence {
		return false
	}
	return r.counted || h.decideUncounted(now, k) == Allowed
}
