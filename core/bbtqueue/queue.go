// Package bbtqueue is the waiting room of one pool on one owner: ordered by
// tier, then by fair shares among the accounts of a tier, then by deadline. It
// holds a bounded number of requests and evicts the lowest tier first.
package bbtqueue

import (
	"slices"

	"bluebelltray/core/bbtfleet"
)

// Queue orders waiting requests. It is not safe for concurrent use.
type Queue struct {
	limit int
	tiers [bbtfleet.LowestTier + 1]tierQueue
	items map[Key]Item
}

// New returns a queue for at most limit requests.
func New(limit int) *Queue {
	return &Queue{limit: limit, items: make(map[Key]Item)}
}

// Len returns how many requests wait.
func (q *Queue) Len() int { return len(q.items) }

// Get returns the waiting request of the key and whether it waits.
func (q *Queue) Get(k Key) (Item, bool) {
	it, ok := q.items[k]
	return it, ok
}

// Push adds a request. When the queue is full it evicts the request that
// ranks last, which is the new one if nothing of a lower tier waits. The
// second result reports whether a request was evicted.
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

// Remove takes a request out without charging its account.
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

// Take takes a request out and charges its cost to its account's share.
func (q *Queue) Take(k Key) (Item, bool) {
	it, ok := q.Remove(k)
	if ok {
		q.tiers[tierIndex(it.Tier)].charge(it)
	}
	return it, ok
}

// Refund undoes the charge of a request that Take returned and that was not
// served.
func (q *Queue) Refund(it Item) { q.tiers[tierIndex(it.Tier)].refund(it) }

// Evict takes out all requests that match, the lowest tier first.
func (q *Queue) Evict(match func(Item) bool) []Item {
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

// CostAhead returns the summed cost of the waiting requests whose tier is not
// outranked by t.
func (q *Queue) CostAhead(t bbtfleet.Tier) float64 {
	var sum float64
	for i := 0; i <= tierIndex(t); i++ {
		sum += q.tiers[i].cost
	}
	return sum
}

// last returns the request of the lowest tier that would be served last.
func (q *Queue) last() (Item, bool) {
	for _, t := range slices.Backward(q.tiers[:]) {
		if it, ok := t.last(); ok {
			return it, true
		}
	}
	return Item{}, false
}

// tierIndex maps tiers outside the valid range to the lowest.
func tierIndex(t bbtfleet.Tier) int {
	if t == 0 || t > bbtfleet.LowestTier {
		return int(bbtfleet.LowestTier)
	}
	return int(t)
}
