package bbthome

import "time"

// Permission says whether a ticket may be issued for a key.
type Permission uint8

// The permissions. The zero value is the cautious one.
const (
	Unsettled Permission = iota // another ticket may have run
	NotHome                     // this host's view names another home
	Allowed                     // no other ticket can run
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

// Decide says whether a ticket may be issued for a key none of whose tickets
// from this host was presented. A first attempt may get one anywhere and at
// any time, as none can have run. A resend gets none, as its caller may have
// presented one of another host. Only for a caller that does not count does
// the home's memory decide.
func (h *Home) Decide(now time.Time, k Key, c Claim) Permission {
	switch c {
	case First:
		return Allowed
	case Uncounted:
		return h.decideUncounted(now, k)
	default:
		return Unsettled
	}
}

// decideUncounted decides by what the home can know.
func (h *Home) decideUncounted(now time.Time, k Key) Permission {
	since, home := h.since(k)
	switch {
	case !home:
		return NotHome
	case now.Sub(h.confirmed) >= h.lease || now.Sub(since) < h.SettleTime():
		return Unsettled
	case h.records[k].counted:
		return Unsettled
	}
	return Allowed
}

// Renewable reports whether a fresh ticket may take the place of one that is
// void.
func (h *Home) Renewable(now time.Time, k Key, sequence uint64) bool {
	h.Expire(now)
	r, known := h.records[k]
	if !known || r.sequence != sequence {
		return false
	}
	return r.counted || h.decideUncounted(now, k) == Allowed
}
