package bbtroute

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtverdict"
)

// A request waits for an owner at most mostPauses times ownerPause.
const (
	ownerPause = 250 * time.Millisecond
	mostPauses = 40
)

// place ranks the owners for a request and registers it.
func (e *Entry) place(now time.Time, j *job) []Action {
	p := e.pools[j.Pool]
	if p == nil {
		return e.refuse(j, bbtverdict.ReasonUnknownPool)
	}
	key := j.Prefix
	if key == 0 {
		key = uint64(j.ID)
	}
	j.order = p.rank(key, j.Exclude)
	return e.ask(now, j)
}

// ask registers the request with further owners until its width is reached,
// and refuses it when every owner has shed it.
func (e *Entry) ask(now time.Time, j *job) []Action {
	var out []Action
	for len(j.asked) < j.width {
		h, ok := j.untried()
		if !ok {
			break
		}
		j.asked = append(j.asked, h)
		out = append(out, e.to(h, e.registration(now, j)))
	}
	if len(j.asked) > 0 {
		return out
	}
	if j.reason == bbtverdict.ReasonNoOwner && j.pauses < mostPauses {
		e.pause(now, j)
		return out
	}
	reason := bbtverdict.ReasonPoolFull
	if j.reason != "" {
		reason = j.reason
	}
	return append(out, e.refuse(j, reason)...)
}

// pause lets a request wait until its endpoints may have an owner again, as
// they get one within seconds of a host's start or death.
func (e *Entry) pause(now time.Time, j *job) {
	j.pauses++
	j.tried = nil
	j.widenAt = now.Add(ownerPause)
	e.timers.set(j.widenAt, j.ID)
}

// widen registers a request that waits with more owners.
func (e *Entry) widen(now time.Time, j *job) []Action {
	if j.width < e.width {
		j.width, j.widenAt = e.width, now.Add(e.spill)
		e.timers.set(j.widenAt, j.ID)
		return e.ask(now, j)
	}
	j.widenAt = time.Time{}
	if e.hasteOf(j.Pool).room(j.Tier) {
		j.width = e.width + 1
		j.order = e.pools[j.Pool].rank(uint64(j.ID), j.Exclude)
	}
	return e.ask(now, j)
}

// hasteOf returns what is known of how quickly a pool's requests are granted.
func (e *Entry) hasteOf(id bbtfleet.PoolID) *haste {
	h := e.hastes[id]
	if h == nil {
		h = &haste{}
		e.hastes[id] = h
	}
	return h
}

// again registers a request anew after a dispatch, within the budget.
func (e *Entry) again(now time.Time, j *job, v bbtverdict.Verdict, r bbtverdict.Reason) []Action {
	if !e.budget.spend() {
		return e.fail(j, v, r)
	}
	j.tried, j.late, j.reason, j.width = nil, 0, r, e.width
	return e.place(now, j)
}

// withdraw takes all registrations of a request back.
func (e *Entry) withdraw(j *job) []Action {
	var out []Action
	for _, h := range j.asked {
		out = append(out, e.to(h, bbtgrant.Withdrawal{Request: j.ID}))
	}
	j.asked = nil
	return out
}

// refuse ends a request that is not dispatched.
func (e *Entry) refuse(j *job, reason bbtverdict.Reason) []Action {
	return e.fail(j, j.verdict(), reason)
}

// fail ends a request without an answer.
func (e *Entry) fail(j *job, v bbtverdict.Verdict, r bbtverdict.Reason) []Action {
	delete(e.jobs, j.ID)
	return append(e.withdraw(j), Refuse{Request: j.ID, Err: bbtverdict.New(v, r, bbtverdict.WithRetryAfter(j.retry))})
}

func (e *Entry) registration(now time.Time, j *job) bbtgrant.Registration {
	return bbtgrant.Registration{
		Request:      j.ID,
		Pool:         j.Pool,
		Account:      j.Account,
		Tier:         j.Tier,
		SentAt:       now.Sub(e.start),
		TimeLeft:     j.left(now),
		PromptTokens: j.PromptTokens,
		OutputTokens: j.OutputTokens,
		Prefix:       j.Prefix,
		PrefixTokens: j.PrefixTokens,
		Exclude:      j.Exclude,
		Isolated:     j.Isolated,
	}
}
