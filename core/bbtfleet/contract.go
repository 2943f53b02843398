package bbtfleet

import (
	"slices"
	"strings"
	"time"
)

// Contract is what a client account may send, how it ranks, and what the
// system may repeat for it.
type Contract struct {
	account    AccountID
	tier       Tier
	requests   Rate
	tokens     Rate
	deadline   time.Duration
	repeatable []repeat // in order of pools, each once
}

// repeat says how often the calls of a pool may be repeated.
type repeat struct {
	pool  PoolID
	times int
}

// byPool compares the repeat's pool with p.
func byPool(r repeat, p PoolID) int { return strings.Compare(string(r.pool), string(p)) }

// ContractOption sets an optional part of a Contract.
type ContractOption func(*Contract)

// WithRequests limits the account's requests, in requests a second.
func WithRequests(r Rate) ContractOption { return func(c *Contract) { c.requests = r } }

// WithTokens limits the account's tokens, in tokens a second.
func WithTokens(r Rate) ContractOption { return func(c *Contract) { c.tokens = r } }

// WithDeadline sets the time from a request's arrival to its whole answer.
func WithDeadline(d time.Duration) ContractOption { return func(c *Contract) { c.deadline = d } }

// WithMaxRetries allows the calls of a pool to be repeated up to n times after
// the first dispatch.
func WithMaxRetries(p PoolID, n int) ContractOption {
	return func(c *Contract) {
		i, found := slices.BinarySearchFunc(c.repeatable, p, byPool)
		if found {
			c.repeatable[i].times = n
			return
		}
		c.repeatable = slices.Insert(c.repeatable, i, repeat{pool: p, times: n})
	}
}

// NewContract returns a contract that allows no repeats and sets no limits.
func NewContract(a AccountID, t Tier, opts ...ContractOption) Contract {
	c := Contract{account: a, tier: t}
	for _, opt := range opts {
		opt(&c)
	}
	return c
}

// Account returns the client account's name.
func (c Contract) Account() AccountID { return c.account }

// Tier returns the account's tier.
func (c Contract) Tier() Tier { return c.tier }

// Requests returns the limit in requests a second.
func (c Contract) Requests() Rate { return c.requests }

// Tokens returns the limit in tokens a second.
func (c Contract) Tokens() Rate { return c.tokens }

// Deadline returns the time from a request's arrival to its whole answer.
func (c Contract) Deadline() time.Duration { return c.deadline }

// MaxRetries returns how often a call to the pool may be repeated; zero means the
// call is not idempotent and needs a ticket.
func (c Contract) MaxRetries(p PoolID) int {
	i, found := slices.BinarySearchFunc(c.repeatable, p, byPool)
	if !found {
		return 0
	}
	return c.repeatable[i].times
}

// RetryablePools returns the pools whose calls may be repeated, in order of
// their names.
func (c Contract) RetryablePools() []PoolID {
	pools := make([]PoolID, 0, len(c.repeatable))
	for _, r := range c.repeatable {
		pools = append(pools, r.pool)
	}
	return pools
}
