package bbtroute

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtverdict"
)

// A request that owners shed with ReasonNoOwner is registered again after
// ownerWait, at most maxOwnerWaits times.
const (
	ownerWait     = 250 * time.Millisecond
	maxOwnerWaits = 40
)

// rankAndRegister ranks the owners for a request and registers it in that order.
func (e *Entry) rankAndRegister(now time.Time, j *job) []Action {
	p := e.pools[j.Pool]
	if p == nil {
		return e.refuse(j, bbtverdict.ReasonUnknownPool)
	}
	key := j.Prefix
	if key == 0 {
		key = uint64(j.ID)
	}
	j.candidates = p.rank(key, j.Exclude)
	return e.register(now, j)
}

// register registers the request with further owners until it is registered
// with maxOwners of them. If no owner is left, it waits for a new one or
// refuses the request.
func (e *Entry) register(now time.Time, j *job) []Action {
	var out []Action
	for len(j.registered) < j.maxOwners {
		h, ok := j.nextCandidate()
		if !ok {
			break
		}
		j.registered = append(j.registered, h)
		out = append(out, e.send(h, e.registration(now, j)))
	}
	if len(j.registered) > 0 {
		return out
	}
	if j.reason == bbtverdict.ReasonNoOwner && j.ownerWaits < maxOwnerWaits {
		e.awaitOwner(now, j)
		return out
	}
	reason := bbtverdict.ReasonPoolFull
	if j.reason != "" {
		reason = j.reason
	}
	return append(out, e.refuse(j, reason)...)
}

// awaitOwner lets a request wait for up to ownerWait before it is registered again.
// Endpoints get a new owner within seconds of the start or failure of a host.
func (e *Entry) awaitOwner(now time.Time, j *job) {
	j.ownerWaits++
	j.unavailable = nil
	j.registerAt = now.Add(ownerWait)
	e.timers.set(j.registerAt, j.ID)
}

// widen registers a waiting request with up to the Entry's maxOwners owners, and
// after widenDelay with one more, chosen regardless of the prefix, if the tier's
// requests are mostly granted quickly. It also registers a request again after the
// wait that awaitOwner started.
func (e *Entry) widen(now time.Time, j *job) []Action {
	if j.maxOwners < e.maxOwners {
		j.maxOwners, j.registerAt = e.maxOwners, now.Add(e.widenDelay)
		e.timers.set(j.registerAt, j.ID)
		return e.register(now, j)
	}
	j.registerAt = time.Time{}
	if e.grantSpeedOf(j.Pool).mostlyQuick(j.Tier) {
		j.maxOwners = e.maxOwners + 1
		j.candidates = e.pools[j.Pool].rank(uint64(j.ID), j.Exclude)
	}
	return e.register(now, j)
}

// grantSpeedOf returns the statistics on how quickly a pool's requests are
// granted.
func (e *Entry) grantSpeedOf(id bbtfleet.PoolID) *grantSpeed {
	g := e.grantSpeeds[id]
	if g == nil {
		g = &grantSpeed{}
		e.grantSpeeds[id] = g
	}
	return g
}

// retry registers a request again after a dispatch, within the retry budget.
func (e *Entry) retry(now time.Time, j *job, v bbtverdict.Verdict, r bbtverdict.Reason) []Action {
	if !e.budget.spend() {
		return e.fail(j, v, r)
	}
	j.unavailable, j.deadlineSheds, j.reason, j.maxOwners = nil, 0, r, e.maxOwners
	return e.rankAndRegister(now, j)
}

// withdraw cancels all registrations of a request.
func (e *Entry) withdraw(j *job) []Action {
	var out []Action
	for _, h := range j.registered {
		out = append(out, e.send(h, bbtgrant.Withdrawal{Request: j.ID}))
	}
	j.registered = nil
	return out
}

// refuse ends a request that has no dispatch under way.
func (e *Entry) refuse(j *job, reason bbtverdict.Reason) []Action {
	return e.fail(j, j.verdict(), reason)
}

// fail ends a request with an error.
func (e *Entry) fail(j *job, v bbtverdict.Verdict, r bbtverdict.Reason) []Action {
	delete(e.jobs, j.ID)
	return append(e.withdraw(j), Refuse{Request: j.ID, Err: bbtverdict.New(v, r, bbtverdict.WithRetryAfter(j.retryAfter))})
}

func (e *Entry) registration(now time.Time, j *job) bbtgrant.Registration {
	return bbtgrant.Registration{
		Request:      j.ID,
		Pool:         j.Pool,
		Account:      j.Account,
		Tier:         j.Tier,
		SentAt:       now.Sub(e.start),
		TimeLeft:     j.timeLeft(now),
		InputTokens:  j.InputTokens,
		OutputTokens: j.OutputTokens,
		Prefix:       j.Prefix,
		PrefixTokens: j.PrefixTokens,
		Exclude:      j.Exclude,
		Isolated:     j.Isolated,
	}
}
