package bbtfleet

import (
	"slices"
	"strings"
	"time"
)

// Contract holds a client account's rate limits, priority tier, request
// deadline and retry limits.
type Contract struct {
	account  AccountID
	tier     Tier
	requests Rate
	tokens   Rate
	deadline time.Duration
	retries  []retryLimit // sorted by pool, without duplicates
}

// retryLimit is the maximum number of retries of a call to a pool.
type retryLimit struct {
	pool PoolID
	max  int
}

// comparePool compares the pool of the limit with p, for a binary search.
func comparePool(l retryLimit, p PoolID) int { return strings.Compare(string(l.pool), string(p)) }

// ContractOption sets an optional part of a Contract.
type ContractOption func(*Contract)

// WithRequests limits the account's requests, in requests a second.
func WithRequests(r Rate) ContractOption { return func(c *Contract) { c.requests = r } }

// WithTokens limits the account's tokens, in tokens a second.
func WithTokens(r Rate) ContractOption { return func(c *Contract) { c.tokens = r } }

// WithDeadline sets the maximum time from a request's arrival to the end of its
// response.
func WithDeadline(d time.Duration) ContractOption { return func(c *Contract) { c.deadline = d } }

// WithMaxRetries allows a call to the pool to be retried up to n times after
// the first dispatch.
func WithMaxRetries(p PoolID, n int) ContractOption {
	return func(c *Contract) {
		i, found := slices.BinarySearchFunc(c.retries, p, comparePool)
		if found {
			c.retries[i].max = n
			return
		}
		c.retries = slices.Insert(c.retries, i, retryLimit{pool: p, max: n})
	}
}

// NewContract returns a contract that has no retries and no rate limits unless
// an option sets them.
func NewContract(a AccountID, t Tier, opts ...ContractOption) Contract {
	c := Contract{account: a, tier: t}
	for _, opt := range opts {
		opt(&c)
	}
	return c
}

// Account returns the client account's ID.
func (c Contract) Account() AccountID { return c.account }

// Tier returns the account's tier.
func (c Contract) Tier() Tier { return c.tier }

// Requests returns the limit in requests a second.
func (c Contract) Requests() Rate { return c.requests }

// Tokens returns the limit in tokens a second.
func (c Contract) Tokens() Rate { return c.tokens }

// Deadline returns the maximum time from a request's arrival to the end of its
// response.
func (c Contract) Deadline() time.Duration { return c.deadline }

// MaxRetries returns how often a call to the pool may be retried. Zero means
// that the call runs at most once, and needs a ticket of package bbtticket if it
// goes to a plain service or has an idempotency key.
func (c Contract) MaxRetries(p PoolID) int {
	i, found := slices.BinarySearchFunc(c.retries, p, comparePool)
	if !found {
		return 0
	}
	return c.retries[i].max
}

// RetryablePools returns the pools whose calls may be retried, sorted by ID.
func (c Contract) RetryablePools() []PoolID {
	pools := make([]PoolID, 0, len(c.retries))
	for _, l := range c.retries {
		pools = append(pools, l.pool)
	}
	return pools
}
