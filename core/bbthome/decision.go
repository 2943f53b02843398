package bbthome

import "time"

// Permission says whether a ticket may be issued for a key.
type Permission uint8

// The permissions. The zero value is the cautious one.
const (
	Unsettled Permission = iota // an earlier ticket may have run
	NotYet                      // no earlier ticket ran, but none can be issued now
	NotHome                     // this host's view names another home
	Allowed                     // a ticket may be issued
)

// String returns the permission's name in kebab case.
func (p Permission) String() string {
	switch p {
	case NotYet:
		return "not-yet"
	case NotHome:
		return "not-home"
	case Allowed:
		return "allowed"
	default:
		return "unsettled"
	}
}

// Decision is a permission and, with NotYet, the time until it may change.
type Decision struct {
	permission Permission
	wait       time.Duration
}

// Permission returns whether a ticket may be issued.
func (d Decision) Permission() Permission { return d.permission }

// Wait returns the time until a permission NotYet may change; zero if unknown.
func (d Decision) Wait() time.Duration { return d.wait }

// Decide says whether a ticket may be issued for a key none of whose tickets
// from this host was presented. First says that the caller states that it
// never presented a ticket of this key.
func (h *Home) Decide(now time.Time, k Key, first bool) Decision {
	since, home := h.since(k)
	if !home {
		return Decision{permission: NotHome}
	}
	age := now.Sub(since)
	if first {
		return h.decideFirst(now, age)
	}
	if age < h.Settle() && !h.knows(k, since) {
		return Decision{permission: Unsettled}
	}
	if age < h.Overlap() || now.Sub(h.confirmed) >= h.lease {
		return Decision{permission: Unsettled}
	}
	return Decision{permission: Allowed}
}

// decideFirst decides for a caller that never presented a ticket of the key.
func (h *Home) decideFirst(now time.Time, age time.Duration) Decision {
	if age < h.Overlap() {
		return Decision{permission: NotYet, wait: h.Overlap() - age}
	}
	if now.Sub(h.confirmed) >= h.lease+h.grace {
		return Decision{permission: NotYet}
	}
	return Decision{permission: Allowed}
}

// knows reports whether this host issued a ticket of the key since it became
// home, so that it knows of all later ones.
func (h *Home) knows(k Key, since time.Time) bool {
	r, ok := h.records[k]
	return ok && !r.issued.Before(since)
}
