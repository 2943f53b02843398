// Package bbtshare divides the room of a service among client accounts by
// start-time fair queueing (Goyal, Vin and Cheng, 1996): while several accounts
// wait, each is served in proportion to its weight, and what one does not use goes
// to the others at once.
package bbtshare

import "maps"

// maxAccounts bounds the accounts that a Clock remembers before it looks for those
// that have no request ahead of the virtual time.
const maxAccounts = 1024

// Clock assigns the tags by which the requests of all accounts are ordered. It is
// not safe for concurrent use. The zero value is ready for use.
type Clock struct {
	now    float64            // virtual time: the highest tag that was served
	finish map[string]float64 // by account, where its next request begins
}

// Tag returns the tag of a new request of an account, in work divided by weight.
// Requests with lower tags go first. The weight must be positive.
func (c *Clock) Tag(account string, work, weight float64) float64 {
	if c.finish == nil {
		c.finish = make(map[string]float64)
	}
	if len(c.finish) >= maxAccounts {
		maps.DeleteFunc(c.finish, func(_ string, f float64) bool { return f <= c.now })
	}
	tag := max(c.now, c.finish[account])
	c.finish[account] = tag + work/weight
	return tag
}

// Served advances the virtual time to the tag of a request that is served.
func (c *Clock) Served(tag float64) { c.now = max(c.now, tag) }

// Withdrawn returns to an account what a request was charged that is not served.
func (c *Clock) Withdrawn(account string, work, weight float64) {
	if f, ok := c.finish[account]; ok {
		c.finish[account] = f - work/weight
	}
}

// Lead returns how far the next request of an account is behind those of accounts
// that have used less than their share, in work divided by weight.
func (c *Clock) Lead(account string) float64 { return max(0, c.finish[account]-c.now) }
