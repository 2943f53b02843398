package bbtlimit

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
)

// account is the state of one active client account on this host.
type account struct {
	id          bbtfleet.AccountID
	requests    meter
	tokens      meter
	epoch       uint64            // epoch of the placement applied by update
	remoteHomes []bbtfleet.HostID // the homes other than this host
	pending     []pendingRequest  // awaiting their grants
	roundStart  time.Time         // start of the last round of credit requests
	nextHome    int               // index of the next home to ask
	shortfalls  int               // credit requests of this round that were not granted in full; the fanout if credit requests were throttled
	silentSince time.Time         // send time of the first credit request that timed out since the last grant
	lastUsed    time.Time
}

// pendingRequest is a credit request that awaits its grant.
type pendingRequest struct {
	id     uint32
	to     bbtfleet.HostID
	sentAt time.Time
	want   credits
}

// update applies the current contract and hosts to the account.
func (a *account) update(now time.Time, c bbtfleet.Contract, self bbtfleet.HostID, p *placement) {
	changed := a.requests.contractRate != c.Requests() || a.tokens.contractRate != c.Tokens()
	if a.epoch == p.epoch && !changed {
		return
	}
	homes := p.homes(a.id, homeCount(c))
	ownShare := 0.0
	if slices.Contains(homes, self) {
		ownShare = p.reachableShare / float64(len(homes))
	}
	a.remoteHomes = slices.DeleteFunc(homes, func(h bbtfleet.HostID) bool { return h == self })
	a.requests.configure(now, c.Requests(), p.reachableShare, ownShare)
	a.tokens.configure(now, c.Tokens(), p.reachableShare, ownShare)
	a.epoch = p.epoch
	a.nextHome = 0
	a.silentSince = time.Time{}
	a.lastUsed = now
}

// prune removes the credit requests that have timed out and counts them as
// shortfalls.
func (a *account) prune(now time.Time) {
	waiting := a.pending[:0]
	for _, req := range a.pending {
		if now.Sub(req.sentAt) < CreditRequestTimeout {
			waiting = append(waiting, req)
			continue
		}
		a.shortfalls++
		if a.silentSince.IsZero() {
			a.silentSince = req.sentAt
		}
	}
	a.pending = waiting
}

// awaitsReplacement reports whether a credit request has timed out since the
// last grant and less than HomeReplacementTimeout has passed since the first such
// request was sent, so that its home may still be replaced in time.
func (a *account) awaitsReplacement(now time.Time) bool {
	return !a.silentSince.IsZero() && now.Sub(a.silentSince) < HomeReplacementTimeout
}

// takePending removes the pending credit request that a grant answers, and
// reports whether there is one.
func (a *account) takePending(now time.Time, id uint32, from bbtfleet.HostID, granted credits) bool {
	a.prune(now)
	i := slices.IndexFunc(a.pending, func(req pendingRequest) bool { return req.id == id && req.to == from })
	if i < 0 {
		return false
	}
	a.silentSince = time.Time{}
	want := a.pending[i].want
	if granted.requests < want.requests || granted.tokens < want.tokens {
		a.shortfalls++
	}
	a.pending = slices.Delete(a.pending, i, i+1)
	return true
}

// fanout returns how many homes are asked for credit in one round.
func (a *account) fanout() int { return min(len(a.remoteHomes), CreditRequestFanout) }

// exhausted reports whether no home is left to ask in this round, because all
// granted less than was requested or credit requests are throttled.
func (a *account) exhausted() bool { return a.shortfalls >= a.fanout() }

// canRequest reports whether credit may be requested now: when a new round may
// start, or when some homes of the current round have not been asked.
func (a *account) canRequest(now time.Time) bool {
	if len(a.pending) > 0 || len(a.remoteHomes) == 0 {
		return false
	}
	return a.shortfalls > 0 && !a.exhausted() || !now.Before(a.nextRound())
}

// nextRound returns when the next round of credit requests may start.
func (a *account) nextRound() time.Time { return a.roundStart.Add(CreditRequestInterval) }

// idle reports whether the state of the account can be discarded.
func (a *account) idle(now time.Time) bool {
	a.prune(now)
	return now.Sub(a.lastUsed) >= IdleTimeout && len(a.pending) == 0 && a.requests.full(now) && a.tokens.full(now)
}

// shortage returns the credit that is lacking to admit a request.
func (a *account) shortage(now time.Time, tokens int) credits {
	return credits{
		requests: a.requests.shortage(now, oneRequest),
		tokens:   a.tokens.shortage(now, float64(tokens)),
	}
}

// want returns the credit to request from homes: the shortage and, if more
// requests are expected within GrantLifetime, also the credit for those.
func (a *account) want(now time.Time, shortage credits, tokens int) credits {
	if a.requests.demandAt(now)*GrantLifetime.Seconds() < 1 {
		return shortage
	}
	return credits{
		requests: max(shortage.requests, a.requests.wanted(now, oneRequest)),
		tokens:   max(shortage.tokens, a.tokens.wanted(now, float64(tokens))),
	}
}
