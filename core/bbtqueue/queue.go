// Package bbtqueue implements the queue of waiting requests for one pool.
// Requests are ordered by tier, then by fair sharing among the accounts of a
// tier, then by deadline. The queue is bounded and evicts requests of the
// lowest tier first.
package bbtqueue

import (
	"slices"

	"bluebelltray/core/bbtfleet"
)

// Queue is a bounded queue of waiting requests. It is not safe for concurrent
// use.
type Queue struct {
	limit int
	tiers [bbtfleet.LowestTier + 1]tierQueue
	items map[Key]Item
}

// New returns a queue for at most limit requests.
func New(limit int) *Queue {
	return &Queue{limit: limit, items: make(map[Key]Item)}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Get returns the waiting request with the key and whether there is one.
func (q *Queue) Get(k Key) (Item, bool) {
	it, ok := q.items[k]
	return it, ok
}

// Push adds a request unless one with its key is waiting. If the queue is full,
// it evicts the last request in order, or rejects the new one if no request of
// a lower tier is waiting. It returns the evicted or rejected request and
// whether there was one.
func (q *Queue) Push(it Item) (evicted Item, full bool) {
	if _, ok := q.items[it.Key]; ok {
		return Item{}, false
	}
	if len(q.items) >= q.limit {
		last, ok := q.last()
		if !ok || !it.Tier.Outranks(last.Tier) {
			return it, true
		}
		q.Remove(last.Key)
		evicted, full = last, true
	}
	q.items[it.Key] = it
	q.tiers[tierIndex(it.Tier)].push(it)
	return evicted, full
}

// Remove removes a request without charging its account.
func (q *Queue) Remove(k Key) (Item, bool) {
	it, ok := q.items[k]
	if !ok {
		return Item{}, false
	}
	delete(q.items, k)
	q.tiers[tierIndex(it.Tier)].remove(it)
	return it, true
}

// Each visits the waiting requests in order until visit returns false.
func (q *Queue) Each(visit func(Item) bool) {
	for t := range q.tiers {
		if !q.tiers[t].each(visit) {
			return
		}
	}
}

// Take removes a request and charges its cost to its account.
func (q *Queue) Take(k Key) (Item, bool) {
	it, ok := q.Remove(k)
	if ok {
		q.tiers[tierIndex(it.Tier)].charge(it)
	}
	return it, ok
}

// Refund undoes the charge for a request that Take returned but that was not
// served.
func (q *Queue) Refund(it Item) { q.tiers[tierIndex(it.Tier)].refund(it) }

// RemoveFunc removes all requests for which match returns true and returns them,
// the lowest tier first.
func (q *Queue) RemoveFunc(match func(Item) bool) []Item {
	var out []Item
	for t := len(q.tiers) - 1; t >= 0; t-- {
		q.tiers[t].each(func(it Item) bool {
			if match(it) {
				out = append(out, it)
			}
			return true
		})
	}
	for _, it := range out {
		q.Remove(it.Key)
	}
	return out
}

// CostAhead returns the total cost of the waiting requests of tier t and of the
// tiers that outrank it.
func (q *Queue) CostAhead(t bbtfleet.Tier) float64 {
	var sum float64
	for i := 0; i <= tierIndex(t); i++ {
		sum += q.tiers[i].cost
	}
	return sum
}

// last returns the last request in order.
func (q *Queue) last() (Item, bool) {
	for _, t := range slices.Backward(q.tiers[:]) {
		if it, ok := t.last(); ok {
			return it, true
		}
	}
	return Item{}, false
}

// tierIndex returns the index of a tier. Tiers outside the valid range map to
// the lowest.
func tierIndex(t bbtfleet.Tier) int {
	if t == 0 || t > bbtfleet.LowestTier {
		return int(bbtfleet.LowestTier)
	}
	return int(t)
}
