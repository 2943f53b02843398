// Package bbtlimit enforces the rates of contracts across many hosts without
// shared state. Each client account has home hosts, chosen by rendezvous
// hashing, that each hold an equal share of its rates as credit. A host that is
// short of credit requests it from the homes. Granted credit is deducted at the
// granting host, so that all hosts together never spend more than the contract
// allows.
//
// In a partition, the homes on each side enforce a share of the rates equal to
// the fraction of listed hosts on that side. The shares of all sides add up to
// one, so that a partition causes no overshoot once every side has detected it.
package bbtlimit

import (
	"time"

	"golang.org/x/time/rate"

	"bluebelltray/core/bbtfleet"
)

// Contracts looks up the contract of a client account. *bbtfleet.Configuration
// implements it.
type Contracts interface {
	Contract(bbtfleet.AccountID) (bbtfleet.Contract, bool)
}

// Limiter enforces the rates of contracts on one host. It is not safe for
// concurrent use.
type Limiter struct {
	self                bbtfleet.HostID
	contracts           Contracts
	placement           placement
	accounts            map[bbtfleet.AccountID]*account
	creditRequestBudget *rate.Limiter
	nextID              uint32
	stats               Stats
}

// The limits and timeouts of a Limiter.
const (
	// CreditRequestsPerSecond is the sustained rate of credit requests that a
	// host sends.
	CreditRequestsPerSecond = 16
	// CreditRequestBurst is the number of credit requests that a host may send
	// at once.
	CreditRequestBurst = 64
	// CreditRequestTimeout is how long a credit request waits for its grant.
	// Later grants are dropped.
	CreditRequestTimeout = 250 * time.Millisecond
	// CreditRequestInterval is the minimum time between two rounds of credit
	// requests for one account.
	CreditRequestInterval = 100 * time.Millisecond
	// CreditRequestFanout is the largest number of homes asked for credit in
	// one round.
	CreditRequestFanout = 4
	// HomeReplacementTimeout is how long requests wait for a silent home to be
	// replaced.
	HomeReplacementTimeout = 3 * time.Second
	// GrantLifetime is how long granted or refunded credit may be spent.
	GrantLifetime = time.Second
	// IdleTimeout is the minimum time for which the state of an account without
	// requests is kept.
	IdleTimeout = 10 * time.Second
)

// New returns the limiter of a host. It refuses all requests until
// SetContracts is called. SetHosts must be called before the first Admit.
func New(self bbtfleet.HostID) *Limiter {
	return &Limiter{
		self:                self,
		accounts:            make(map[bbtfleet.AccountID]*account),
		creditRequestBudget: rate.NewLimiter(CreditRequestsPerSecond, CreditRequestBurst),
	}
}

// SetContracts sets the contracts of a new configuration. They apply to an
// account from its next use. Available credit is kept, up to the new bursts.
func (l *Limiter) SetContracts(c Contracts) { l.contracts = c }

// SetHosts applies a new view of the hosts: the live hosts of the host list, and
// the subset that this host can reach, including itself. Homes are chosen among
// the reachable hosts. An unchanged view has no effect.
func (l *Limiter) SetHosts(listed, reachable []bbtfleet.HostID) {
	if l.placement.matches(listed, reachable) {
		return
	}
	l.placement = newPlacement(listed, reachable, l.placement.epoch+1)
}

// HomeHosts returns the home hosts of the account in descending order of score,
// or nothing if the account or the hosts are unknown.
func (l *Limiter) HomeHosts(id bbtfleet.AccountID) []bbtfleet.HostID {
	c, ok := l.contract(id)
	if !ok {
		return nil
	}
	return l.placement.homes(id, homeCount(c))
}

// ActiveAccounts returns the number of accounts with state.
func (l *Limiter) ActiveAccounts() int { return len(l.accounts) }

// Stats returns the counters so far.
func (l *Limiter) Stats() Stats { return l.stats }

// contract returns the contract of the account and whether it exists.
func (l *Limiter) contract(id bbtfleet.AccountID) (bbtfleet.Contract, bool) {
	if l.contracts == nil {
		return bbtfleet.Contract{}, false
	}
	return l.contracts.Contract(id)
}

// account returns the state of the account, updated to now, or nil if the
// account has no contract.
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

// Tick discards the state of accounts that are idle and have their full credit.
// The driver calls it about once a second.
func (l *Limiter) Tick(now time.Time) {
	for id, a := range l.accounts {
		if a.idle(now) {
			delete(l.accounts, id)
		}
	}
}
