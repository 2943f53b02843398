// Package bbtlimit enforces the rates of contracts over many hosts without
// shared state. Each client account has home hosts, found by rendezvous
// hashing, that each hold an equal part of its rates as credit. A host that is
// short of credit asks homes for some; credit that one host grants is gone
// there, so that all hosts together never spend more than the contract holds.
//
// In a partition each side's homes enforce the part of the rates that the
// side's hosts are of the listed ones. The parts of all sides add up to one, so
// that a partition costs no overshoot once every side has noticed it.
package bbtlimit

import (
	"time"

	"golang.org/x/time/rate"

	"bluebelltray/core/bbtfleet"
)

// Contracts finds the contract of a client account. A *bbtfleet.Configuration
// is one.
type Contracts interface {
	Contract(bbtfleet.AccountID) (bbtfleet.Contract, bool)
}

// Limiter is one host's part in enforcing the rates of contracts. It is not
// safe for concurrent use.
type Limiter struct {
	self      bbtfleet.HostID
	contracts Contracts
	placement placement
	accounts  map[bbtfleet.AccountID]*account
	budget    *rate.Limiter
	nextID    uint32
	stats     Stats
}

// The bounds on what a Limiter sends and holds.
const (
	// CreditRequestsPerSecond is the sustained number of asks that a host sends.
	CreditRequestsPerSecond = 16
	// CreditRequestBurst is the number of asks that a host may send at once.
	CreditRequestBurst = 64
	// CreditRequestTimeout is how long an ask waits for its grant. A later grant is
	// dropped.
	CreditRequestTimeout = 250 * time.Millisecond
	// CreditRequestInterval is the least time between two rounds of asks for one account.
	CreditRequestInterval = 100 * time.Millisecond
	// CreditRequestFanout is the largest number of homes asked in one round.
	CreditRequestFanout = 4
	// HomeReplacementTimeout is how long requests wait for a silent home to be replaced.
	HomeReplacementTimeout = 3 * time.Second
	// GrantLifetime is how long granted credit may be spent.
	GrantLifetime = time.Second
	// IdleTimeout is how long an account without requests is remembered at least.
	IdleTimeout = 10 * time.Second
)

// New returns the limiter of a host. It refuses every account until it has
// contracts and hosts.
func New(self bbtfleet.HostID) *Limiter {
	return &Limiter{
		self:     self,
		accounts: make(map[bbtfleet.AccountID]*account),
		budget:   rate.NewLimiter(CreditRequestsPerSecond, CreditRequestBurst),
	}
}

// SetContracts takes the contracts of a new configuration into force. Credit in
// hand stays, up to the new bursts.
func (l *Limiter) SetContracts(c Contracts) { l.contracts = c }

// SetHosts takes a new view of the hosts into force: the live hosts that the
// platform lists, and those of them that this host can reach, itself among
// them. Homes are chosen among the reachable hosts. A view that is in
// force already changes nothing.
func (l *Limiter) SetHosts(listed, reachable []bbtfleet.HostID) {
	if l.placement.of(listed, reachable) {
		return
	}
	l.placement = newPlacement(listed, reachable, l.placement.epoch+1)
}

// HomeHosts returns the account's home hosts, the first in hash order first, or
// nothing if the account or the hosts are unknown.
func (l *Limiter) HomeHosts(id bbtfleet.AccountID) []bbtfleet.HostID {
	c, ok := l.contract(id)
	if !ok {
		return nil
	}
	return l.placement.homes(id, homeCount(c))
}

// ActiveAccounts returns the number of accounts that hold state.
func (l *Limiter) ActiveAccounts() int { return len(l.accounts) }

// Stats returns the counts so far.
func (l *Limiter) Stats() Stats { return l.stats }

// contract returns the account's contract and whether it exists.
func (l *Limiter) contract(id bbtfleet.AccountID) (bbtfleet.Contract, bool) {
	if l.contracts == nil {
		return bbtfleet.Contract{}, false
	}
	return l.contracts.Contract(id)
}

// account returns the account's state, brought up to now, or nil if the account
// has no contract.
func (l *Limiter) account(now time.Time, id bbtfleet.AccountID) *account {
	c, ok := l.contract(id)
	if !ok {
		delete(l.accounts, id)
		return nil
	}
	a := l.accounts[id]
	if a == nil {
		a = &account{id: id}
		l.accounts[id] = a
	}
	a.update(now, c, l.self, &l.placement)
	return a
}

// Tick forgets accounts that have been idle for so long that their state says
// nothing. The driver calls it about once a second.
func (l *Limiter) Tick(now time.Time) {
	for id, a := range l.accounts {
		if a.idle(now) {
			delete(l.accounts, id)
		}
	}
}
