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
	used     time.Time
}

// ask is an ask that waits for its grant.
type ask struct {
	id uint32
	to bbtfleet.HostID
	at time.Time
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
	a.requests.set(now, c.Requests(), part)
	a.tokens.set(now, c.Tokens(), part)
	a.epoch = p.epoch
	a.turn = 0
	a.used = now
}

// prune drops the asks that have waited too long.
func (a *account) prune(now time.Time) {
	a.asks = slices.DeleteFunc(a.asks, func(k ask) bool { return now.Sub(k.at) >= AskTimeout })
}

// answer takes the ask that a grant answers, and reports whether there is one.
func (a *account) answer(now time.Time, id uint32, from bbtfleet.HostID) bool {
	a.prune(now)
	i := slices.IndexFunc(a.asks, func(k ask) bool { return k.id == id && k.to == from })
	if i < 0 {
		return false
	}
	a.asks = slices.Delete(a.asks, i, i+1)
	return true
}

// idle reports whether the account can be forgotten.
func (a *account) idle(now time.Time) bool {
	a.prune(now)
	return now.Sub(a.used) >= IdleTime && len(a.asks) == 0 && a.requests.full(now) && a.tokens.full(now)
}
