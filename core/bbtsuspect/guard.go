package bbtsuspect

import (
	"time"
)

// The limits of a Coordinator.
const (
	ClaimTTL     = 2 * time.Minute          // after which a claim that is not released expires
	SettlingTime = ClaimTTL + 5*time.Second // exceeds ClaimTTL, so that claims at earlier coordinators have expired
	maxClaims    = 65536
	maxProven    = 16384
)

// Coordinator serializes the attempts of a request across the fleet until one
// of them has received a complete answer, and again after a crash. The host
// that rendezvous hashing selects for a fingerprint is its coordinator. It is
// not safe for concurrent use.
type Coordinator struct {
	suspects    *Suspects
	settledAt   time.Time
	claims      map[Fingerprint]claim
	proven      map[Fingerprint]struct{} // requests that received a complete answer and have not crashed an endpoint since
	provenOrder []Fingerprint            // in the order of markProven, including requests that are no longer proven
}

// claim is the record of the admitted attempt of a request that is not proven.
// There is at most one for each request.
type claim struct {
	attempt Attempt
	expires time.Time
	settled bool // whether the coordinator was settled when it admitted the attempt
}

// NewCoordinator returns a coordinator that reads and records crashes in s.
func NewCoordinator(s *Suspects) *Coordinator {
	return &Coordinator{
		suspects: s,
		claims:   make(map[Fingerprint]claim),
		proven:   make(map[Fingerprint]struct{}),
	}
}

// Unsettle makes Claim assume until the given time that other coordinators may
// have admitted attempts of any request.
func (co *Coordinator) Unsettle(until time.Time) {
	if until.After(co.settledAt) {
		co.settledAt = until
	}
}

// Claim calls Decide. For every request, it treats the coordinator as settled
// once the time given to Unsettle has passed.
func (co *Coordinator) Claim(now time.Time, c Claim) ClaimResponse {
	return co.Decide(now, c, !now.Before(co.settledAt))
}

// Decide returns whether and how an attempt of a request may be dispatched now.
// A repeated claim of an attempt is not held because of the first one. The
// coordinator is settled if for SettlingTime no other coordinator can have
// admitted attempts of the request; otherwise a single crash bans the request.
func (co *Coordinator) Decide(now time.Time, c Claim, settled bool) ClaimResponse {
	return ClaimResponse{Fingerprint: c.Fingerprint, Attempt: c.Attempt, DispatchMode: co.decide(now, c, settled)}
}

// decide returns the dispatch mode and records an admitted attempt.
func (co *Coordinator) decide(now time.Time, c Claim, settled bool) DispatchMode {
	crashes := co.suspects.Crashes(now, c.Fingerprint)
	if _, ok := co.proven[c.Fingerprint]; ok && crashes == 0 {
		return Free
	}
	existing, ok := co.claims[c.Fingerprint]
	if ok && existing.attempt != c.Attempt && now.Before(existing.expires) {
		return Hold
	}
	if crashes >= banThreshold(settled) {
		co.ban(now, c.Fingerprint, crashes)
		return Banned
	}
	if !ok && len(co.claims) >= maxClaims {
		co.expireClaims(now)
		if len(co.claims) >= maxClaims {
			return Hold
		}
	}
	co.claims[c.Fingerprint] = claim{attempt: c.Attempt, expires: now.Add(ClaimTTL), settled: settled}
	if crashes > 0 {
		return Isolated
	}
	return Free
}

// ban records an unidentified crash, so that the request stays banned after the
// coordinator has settled: attempts admitted by an earlier coordinator may have
// caused crashes that were not reported.
func (co *Coordinator) ban(now time.Time, f Fingerprint, crashes int) {
	if crashes < MaxCrashes {
		co.suspects.Add(now, f, Crash{})
	}
}

// banThreshold returns the number of known crashes at which a request is banned.
func banThreshold(settled bool) int {
	if settled {
		return MaxCrashes
	}
	return MaxCrashes - 1
}

// Release ends the claim of an attempt and records its outcome. A crash of an
// attempt that was admitted before the coordinator had settled bans the
// request, because an attempt admitted by an earlier coordinator may have
// caused a crash that was not reported.
func (co *Coordinator) Release(now time.Time, r Release) {
	existing := co.claims[r.Fingerprint]
	if r.Crash != nil {
		co.suspects.Add(now, r.Fingerprint, *r.Crash)
		co.unmarkProven(r.Fingerprint)
	}
	if existing.attempt != r.Attempt {
		return
	}
	if r.Crash != nil && !existing.settled {
		co.ban(now, r.Fingerprint, co.suspects.Crashes(now, r.Fingerprint))
	}
	delete(co.claims, r.Fingerprint)
	if r.Complete {
		co.suspects.Clear(r.Fingerprint)
		co.markProven(r.Fingerprint)
	}
}

// markProven allows concurrent attempts of a request.
func (co *Coordinator) markProven(f Fingerprint) {
	if _, ok := co.proven[f]; ok {
		return
	}
	if len(co.provenOrder) >= maxProven {
		delete(co.proven, co.provenOrder[0])
		co.provenOrder = co.provenOrder[1:]
	}
	co.proven[f] = struct{}{}
	co.provenOrder = append(co.provenOrder, f)
}

// unmarkProven requires the attempts of a request to be serialized again.
func (co *Coordinator) unmarkProven(f Fingerprint) {
	delete(co.proven, f)
}

func (co *Coordinator) expireClaims(now time.Time) {
	for f, c := range co.claims {
		if !now.Before(c.expires) {
			delete(co.claims, f)
		}
	}
}
