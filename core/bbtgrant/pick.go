package bbtgrant

import (
	"slices"
	"time"

	"bluebelltray/core/bbtqueue"
)

const (
	cachedBonus  = 0.25 // difference in utilization that a cached prefix outweighs
	maxLookahead = 32   // waiting requests checked for a cached prefix
	maxOvertaken = 8    // times a request may be overtaken within its tier
)

// choice is a waiting request and the endpoint selected for it.
type choice struct {
	item     bbtqueue.Item
	endpoint *endpoint
	cached   bool // the endpoint's cache probably contains the prefix
}

// pick returns the next request to grant and its endpoint. It is the first
// request in queue order that an endpoint can complete before its deadline,
// unless a request of the same tier within maxLookahead positions has its
// prefix in an endpoint's cache.
func (p *pool) pick(now time.Time, available []*endpoint) (choice, bool) {
	var first, best choice
	examined := 0
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
		examined++
		return first.endpoint == nil || !best.cached && examined < maxLookahead
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

// choose selects an endpoint for a request among the available ones. A cached
// prefix outweighs a small difference in utilization.
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
