package bbtsuspect

import (
	"time"
)

// The bounds of a guard.
const (
	ClaimTime = 2 * time.Minute // after which a claim without release ends
	maxClaims = 65536
	maxProven = 16384
)

// Guard admits copies of a request one at a time for the whole fleet until one
// of them got its whole answer, and after crashes. The host that rendezvous
// hashing names for a fingerprint runs its guard. It is not safe for
// concurrent use.
type Guard struct {
	suspicions *Suspicions
	settled    time.Time
	claims     map[Fingerprint]claim
	proven     map[Fingerprint]struct{}
	order      []Fingerprint // proven requests, oldest first
}

// claim is the one copy in flight of a request that is not proven.
type claim struct {
	copy  Copy
	until time.Time
}

// NewGuard returns a guard that reads and records crashes in s.
func NewGuard(s *Suspicions) *Guard {
	return &Guard{
		suspicions: s,
		claims:     make(map[Fingerprint]claim),
		proven:     make(map[Fingerprint]struct{}),
	}
}

// Unsettle says that until the given time other guards may have admitted
// copies of the same requests: after a start, after a change of the host list
// and while the view is not confirmed. One crash is then enough for a ban.
func (g *Guard) Unsettle(until time.Time) {
	if until.After(g.settled) {
		g.settled = until
	}
}

// Claim decides whether a copy of a request may be dispatched now. A repeated
// claim of the same copy gets the same answer.
func (g *Guard) Claim(now time.Time, c Claim) Grant {
	return Grant{Fingerprint: c.Fingerprint, Copy: c.Copy, Treatment: g.decide(now, c)}
}

// decide returns the treatment and records an admitted copy.
func (g *Guard) decide(now time.Time, c Claim) Treatment {
	crashes := g.suspicions.Crashes(now, c.Fingerprint)
	if _, ok := g.proven[c.Fingerprint]; ok && crashes == 0 {
		return Free
	}
	held, ok := g.claims[c.Fingerprint]
	if ok && held.copy != c.Copy && now.Before(held.until) {
		return Hold
	}
	if crashes >= g.budget(now) {
		return Banned
	}
	if !ok && len(g.claims) >= maxClaims {
		g.expire(now)
		if len(g.claims) >= maxClaims {
			return Hold
		}
	}
	g.claims[c.Fingerprint] = claim{copy: c.Copy, until: now.Add(ClaimTime)}
	if crashes > 0 {
		return Alone
	}
	return Free
}

// budget returns how many endpoints a request may take down by this guard's
// leave.
func (g *Guard) budget(now time.Time) int {
	if now.Before(g.settled) {
		return MaxCrashes - 1
	}
	return MaxCrashes
}

// Release ends a copy's claim and records what came of it.
func (g *Guard) Release(now time.Time, r Release) {
	if r.Crash != nil {
		g.suspicions.Add(now, r.Fingerprint, *r.Crash)
		g.unprove(r.Fingerprint)
	}
	if g.claims[r.Fingerprint].copy != r.Copy {
		return
	}
	delete(g.claims, r.Fingerprint)
	if r.Whole {
		g.suspicions.Clear(r.Fingerprint)
		g.prove(r.Fingerprint)
	}
}

// prove lets further copies of a request run at the same time.
func (g *Guard) prove(f Fingerprint) {
	if _, ok := g.proven[f]; ok {
		return
	}
	if len(g.order) >= maxProven {
		delete(g.proven, g.order[0])
		g.order = g.order[1:]
	}
	g.proven[f] = struct{}{}
	g.order = append(g.order, f)
}

// unprove ends that.
func (g *Guard) unprove(f Fingerprint) {
	delete(g.proven, f)
}

// expire ends the claims whose time is over.
func (g *Guard) expire(now time.Time) {
	for f, c := range g.claims {
		if !now.Before(c.until) {
			delete(g.claims, f)
		}
	}
}
