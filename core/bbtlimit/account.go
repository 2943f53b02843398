package bbtlimit

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
)

// account is what a host holds of one client account that is active there.
type account struct {
	id       bbtfleet.AccountID
	requests meter
	tokens   meter
	epoch    uint64
	others   []bbtfleet.HostID // its homes but for this host
	asks     []ask             // waiting for their grants
	asked    time.Time         // the last round
	turn     int               // the home that the next round starts at
	misses   int               // asks of this round that brought less than was asked for
	silent   time.Time         // of the first ask without an answer since the last grant
	used     time.Time
}

// ask is an ask that waits for its grant.
type ask struct {
	id   uint32
	to   bbtfleet.HostID
	at   time.Time
	want need
}

// update brings the account up to the contract and the hosts in force.
func (a *account) update(now time.Time, c bbtfleet.Contract, self bbtfleet.HostID, p *placement) {
	changed := a.requests.whole != c.Requests() || a.tokens.whole != c.Tokens()
	if a.epoch == p.epoch && !changed {
		return
	}
	homes := p.homes(a.id, homeCount(c))
	part := 0.0
	if slices.Contains(homes, self) {
		part = p.part / float64(len(homes))
	}
	a.others = slices.DeleteFunc(homes, func(h bbtfleet.HostID) bool { return h == self })
	a.requests.set(now, c.Requests(), p.part, part)
	a.tokens.set(now, c.Tokens(), p.part, part)
	a.epoch = p.epoch
	a.turn = 0
	a.silent = time.Time{}
	a.used = now
}

// prune drops the asks that have waited too long.
func (a *account) prune(now time.Time) {
	waiting := a.asks[:0]
	for _, k := range a.asks {
		if now.Sub(k.at) < CreditRequestTimeout {
			waiting = append(waiting, k)
			continue
		}
		a.misses++
		if a.silent.IsZero() {
			a.silent = k.at
		}
	}
	a.asks = waiting
}

// patient reports whether the homes have been silent for so short a time that
// waiting for them to be replaced is of use.
func (a *account) patient(now time.Time) bool {
	return !a.silent.IsZero() && now.Sub(a.silent) < HomeReplacementTimeout
}

// answer takes the ask that a grant answers, and reports whether there is one.
func (a *account) answer(now time.Time, id uint32, from bbtfleet.HostID, granted need) bool {
	a.prune(now)
	i := slices.IndexFunc(a.asks, func(k ask) bool { return k.id == id && k.to == from })
	if i < 0 {
		return false
	}
	a.silent = time.Time{}
	want := a.asks[i].want
	if granted.requests < want.requests || granted.tokens < want.tokens {
		a.misses++
	}
	a.asks = slices.Delete(a.asks, i, i+1)
	return true
}

// reach returns how many homes are asked in one round.
func (a *account) reach() int { return min(len(a.others), CreditRequestFanout) }

// dry reports whether all homes asked in this round gave less than was asked
// for.
func (a *account) dry() bool { return a.misses >= a.reach() }

// mayAsk reports whether a home may be asked now: when a new round may start,
// or when some of the round's homes are still to be asked.
func (a *account) mayAsk(now time.Time) bool {
	if len(a.asks) > 0 || len(a.others) == 0 {
		return false
	}
	return a.misses > 0 && !a.dry() || !now.Before(a.nextRound())
}

// nextRound returns when the next round of asks may start.
func (a *account) nextRound() time.Time { return a.asked.Add(CreditRequestInterval) }

// idle reports whether the account can be forgotten.
func (a *account) idle(now time.Time) bool {
	a.prune(now)
	return now.Sub(a.used) >= IdleTimeout && len(a.asks) == 0 && a.requests.full(now) && a.tokens.full(now)
}

// missing returns what is lacking to admit a request.
func (a *account) missing(now time.Time, tokens int) need {
	return need{
		requests: a.requests.missing(now, oneRequest),
		tokens:   a.tokens.missing(now, float64(tokens)),
	}
}

// want returns what to ask other hosts for: what is missing, and, if more
// requests are to be expected while the credit can be held, what they need.
func (a *account) want(now time.Time, missing need, tokens int) need {
	if a.requests.demandAt(now)*GrantLifetime.Seconds() < 1 {
		return missing
	}
	return need{
		requests: max(missing.requests, a.requests.ahead(now, oneRequest)),
		tokens:   max(missing.tokens, a.tokens.ahead(now, float64(tokens))),
	}
}
