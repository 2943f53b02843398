package bbtsuspect

import (
	"time"
)

// The bounds of a guard.
const (
	ClaimTTL     = 2 * time.Minute          // after which a claim without release ends
	SettlingTime = ClaimTTL + 5*time.Second // for which a new guard is not settled
	maxClaims    = 65536
	maxProven    = 16384
)

// Coordinator admits copies of a request one at a time for the whole fleet until one
// of them got its whole answer, and after crashes. The host that rendezvous
// hashing names for a fingerprint runs its guard. It is not safe for
// concurrent use.
type Coordinator struct {
	suspicions *Suspects
	settled    time.Time
	claims     map[Fingerprint]claim
	proven     map[Fingerprint]struct{}
	order      []Fingerprint // proven requests, oldest first
}

// claim is the one copy in flight of a request that is not proven.
type claim struct {
	copy    Attempt
	until   time.Time
	settled bool
}

// NewCoordinator returns a guard that reads and records crashes in s.
func NewCoordinator(s *Suspects) *Coordinator {
	return &Coordinator{
		suspicions: s,
		claims:     make(map[Fingerprint]claim),
		proven:     make(map[Fingerprint]struct{}),
	}
}

// Unsettle says that until the given time Claim must expect that other guards
// admitted copies of any request.
func (g *Coordinator) Unsettle(until time.Time) {
	if until.After(g.settled) {
		g.settled = until
	}
}

// Claim is Decide for a guard that is settled for all requests or for none.
func (g *Coordinator) Claim(now time.Time, c Claim) Grant {
	return g.Decide(now, c, !now.Before(g.settled))
}

// Decide says whether a copy of a request may be dispatched now. A repeated
// claim of the same copy gets the same answer. The guard is settled if for
// UnsettledTime no other guard can have admitted copies of the request;
// otherwise one crash is enough for a ban.
func (g *Coordinator) Decide(now time.Time, c Claim, settled bool) Grant {
	return Grant{Fingerprint: c.Fingerprint, Attempt: c.Attempt, DispatchMode: g.decide(now, c, settled)}
}

// decide returns the treatment and records an admitted copy.
func (g *Coordinator) decide(now time.Time, c Claim, settled bool) DispatchMode {
	crashes := g.suspicions.Crashes(now, c.Fingerprint)
	if _, ok := g.proven[c.Fingerprint]; ok && crashes == 0 {
		return Free
	}
	held, ok := g.claims[c.Fingerprint]
	if ok && held.copy != c.Attempt && now.Before(held.until) {
		return Hold
	}
	if crashes >= budgetOf(settled) {
		g.ban(now, c.Fingerprint, crashes)
		return Banned
	}
	if !ok && len(g.claims) >= maxClaims {
		g.expire(now)
		if len(g.claims) >= maxClaims {
			return Hold
		}
	}
	g.claims[c.Fingerprint] = claim{copy: c.Attempt, until: now.Add(ClaimTTL), settled: settled}
	if crashes > 0 {
		return Isolated
	}
	return Free
}

// ban keeps a request banned once the guard has settled: what a former guard
// admitted may have crashed unseen.
func (g *Coordinator) ban(now time.Time, f Fingerprint, crashes int) {
	if crashes < MaxCrashes {
		g.suspicions.Add(now, f, Crash{})
	}
}

// budgetOf returns how many endpoints a request may take down by a guard's
// leave.
func budgetOf(settled bool) int {
	if settled {
		return MaxCrashes
	}
	return MaxCrashes - 1
}

// Release ends a copy's claim and records what came of it. A crash of a copy
// that was admitted before the guard had settled bans the request, as a copy
// of a former guard may have crashed unseen.
func (g *Coordinator) Release(now time.Time, r Release) {
	held := g.claims[r.Fingerprint]
	if r.Crash != nil {
		g.suspicions.Add(now, r.Fingerprint, *r.Crash)
		g.unprove(r.Fingerprint)
	}
	if held.copy != r.Attempt {
		return
	}
	if r.Crash != nil && !held.settled {
		g.ban(now, r.Fingerprint, g.suspicions.Crashes(now, r.Fingerprint))
	}
	delete(g.claims, r.Fingerprint)
	if r.Complete {
		g.suspicions.Clear(r.Fingerprint)
		g.prove(r.Fingerprint)
	}
}

// prove lets further copies of a request run at the same time.
func (g *Coordinator) prove(f Fingerprint) {
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
func (g *Coordinator) unprove(f Fingerprint) {
	delete(g.proven, f)
}

// expire ends the claims whose time is over.
func (g *Coordinator) expire(now time.Time) {
	for f, c := range g.claims {
		if !now.Before(c.until) {
			delete(g.claims, f)
		}
	}
}
