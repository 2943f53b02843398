package bbtgrant

import (
	"slices"
	"time"

	"bluebelltray/core/bbtqueue"
)

const (
	cachedBonus  = 0.25 // use that a held prefix outweighs
	maxLookahead = 32   // requests considered for their prefixes
	maxOvertaken = 8    // requests that may go before another of their tier
)

// choice is a waiting request with the endpoint it is to run on.
type choice struct {
	item     bbtqueue.Item
	endpoint *endpoint
	cached   bool // the endpoint's cache is likely to hold the prefix
}

// pick returns the request to be granted next and its endpoint. It is the
// first in order that an endpoint can finish in time, unless one of the same
// tier not far behind finds its prefix in the endpoint's cache.
func (p *pool) pick(now time.Time, available []*endpoint) (choice, bool) {
	var first, best choice
	ahead := 0
	p.queue.Each(func(it bbtqueue.Item) bool {
		if first.endpoint != nil && it.Tier != first.item.Tier {
			return false
		}
		c := p.choose(now, available, it)
		switch {
		case c.endpoint == nil:
		case first.endpoint == nil:
			first, best = c, c
		case c.cached:
			best = c
		}
		ahead++
		return first.endpoint == nil || !best.cached && ahead < maxLookahead
	})
	if first.endpoint == nil {
		return choice{}, false
	}
	if best.item.Key == first.item.Key {
		return first, true
	}
	w := p.waiters[first.item.Key]
	if w.overtaken >= maxOvertaken {
		return first, true
	}
	w.overtaken++
	p.waiters[first.item.Key] = w
	return best, true
}

// choose returns the endpoint for a request among those with room. A held
// prefix outweighs a small difference in use.
func (p *pool) choose(now time.Time, available []*endpoint, it bbtqueue.Item) choice {
	r := p.waiters[it.Key].Registration
	best := choice{item: it}
	var least float64
	for _, e := range available {
		if r.Isolated && e.isolated > 0 || slices.Contains(r.Exclude, e.record.ID()) || !p.inTime(now, e, r, it.Deadline) {
			continue
		}
		utilization, cached := e.utilization(), e.cached.contains(r.Prefix)
		if cached {
			utilization -= cachedBonus
		}
		if best.endpoint == nil || utilization < least {
			best.endpoint, best.cached, least = e, cached, utilization
		}
	}
	return best
}
