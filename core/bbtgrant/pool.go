package bbtgrant

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtqueue"
	"bluebelltray/core/bbtverdict"
)

const (
	sweepInterval = 100 * time.Millisecond // between deadline checks of the waiting requests
	retryAfter    = time.Second            // retry delay returned with sheds for a full pool, an eviction or a missing owner
)

// pool holds the waiting requests and the owned endpoints of one pool.
type pool struct {
	queue        *bbtqueue.Queue
	waiters      map[bbtqueue.Key]waiter
	endpoints    []*endpoint // sorted by ID
	lengths      lengths
	nextSweep    time.Time // when the deadlines of waiting requests are checked next
	nextCapacity time.Time // when another endpoint may have capacity; zero if unknown
}

// waiter is a registration in the queue.
type waiter struct {
	Registration
	arrivedAt time.Time
	overtaken int // times that a request with a cached prefix went first
}

func newPool(maxWaiting int) *pool {
	return &pool{queue: bbtqueue.New(maxWaiting), waiters: make(map[bbtqueue.Key]waiter), lengths: newLengths()}
}

// push queues a registration, or sheds the request if its deadline cannot be
// met. If the queue is full, it sheds the last request in order, or the new one
// if no request of a lower tier is waiting.
func (p *pool) push(now time.Time, from bbtfleet.HostID, r Registration) []Action {
	it := bbtqueue.Item{
		Key:      bbtqueue.Key{Host: from, Request: uint64(r.Request)},
		Tier:     r.Tier,
		Account:  r.Account,
		Deadline: now.Add(r.TimeLeft),
		Cost:     float64(r.InputTokens + r.OutputTokens),
	}
	if !p.canMeetDeadline(now, r, it.Deadline) {
		return []Action{shed(it.Key, bbtverdict.ReasonDeadlineUnreachable)}
	}
	evicted, full := p.queue.Push(it)
	if full && evicted.Key == it.Key {
		return []Action{shed(it.Key, bbtverdict.ReasonPoolFull)}
	}
	if p.queue.Len() == 1 {
		p.nextSweep = now.Add(sweepInterval)
	}
	p.waiters[it.Key] = waiter{Registration: r, arrivedAt: now}
	if !full {
		return nil
	}
	delete(p.waiters, evicted.Key)
	return []Action{shed(evicted.Key, bbtverdict.ReasonEvictedByHigherTier)}
}

func (p *pool) remove(k bbtqueue.Key) {
	p.queue.Remove(k)
	delete(p.waiters, k)
}

// drop removes and returns the waiting requests for which match returns true.
func (p *pool) drop(match func(bbtqueue.Item) bool) []bbtqueue.Item {
	out := p.queue.RemoveFunc(match)
	for _, it := range out {
		delete(p.waiters, it.Key)
	}
	return out
}

// expire sheds the waiting requests that can no longer meet their deadlines.
func (p *pool) expire(now time.Time) []Action {
	if p.queue.Len() == 0 || now.Before(p.nextSweep) {
		return nil
	}
	p.nextSweep = now.Add(sweepInterval)
	var out []Action
	for _, it := range p.drop(func(it bbtqueue.Item) bool {
		return !p.canMeetDeadline(now, p.waiters[it.Key].Registration, it.Deadline)
	}) {
		out = append(out, shed(it.Key, bbtverdict.ReasonDeadlineUnreachable))
	}
	return out
}

// canMeetDeadline reports whether an endpoint can complete the request before the
// deadline if it starts now.
func (p *pool) canMeetDeadline(now time.Time, r Registration, deadline time.Time) bool {
	for _, e := range p.endpoints {
		if p.inTime(now, e, r, deadline) {
			return true
		}
	}
	return false
}

// inTime reports whether the endpoint can complete the request before the
// deadline if it starts now.
func (p *pool) inTime(now time.Time, e *endpoint, r Registration, deadline time.Time) bool {
	output := p.lengths.estimate(r.OutputTokens)
	return !now.Add(e.pace.processingTime(float64(r.InputTokens), output)).After(deadline)
}

// withCapacity returns the endpoints that can take a request now. It sets
// nextCapacity to the earliest known time at which another one may.
func (p *pool) withCapacity(now time.Time) []*endpoint {
	var out []*endpoint
	p.nextCapacity = time.Time{}
	for _, e := range p.endpoints {
		if e.headroom(now) <= 0 {
			p.nextCapacity = earlier(p.nextCapacity, e.pausedUntil, now)
			p.nextCapacity = earlier(p.nextCapacity, e.formerOwnerUntil, now)
			p.nextCapacity = earlier(p.nextCapacity, e.ramp.next(), now)
			continue
		}
		e.pace.drain(now)
		if e.pace.full() {
			p.nextCapacity = earlier(p.nextCapacity, e.pace.notFullAt(), now)
			continue
		}
		out = append(out, e)
	}
	return out
}

// next returns when the pool needs a Tick, or the zero time if it needs none.
func (p *pool) next() time.Time {
	if p.queue.Len() == 0 {
		return time.Time{}
	}
	if p.nextCapacity.IsZero() || p.nextSweep.Before(p.nextCapacity) {
		return p.nextSweep
	}
	return p.nextCapacity
}

func shed(k bbtqueue.Key, reason bbtverdict.Reason) Shed {
	s := Shed{To: k.Host, Request: RequestID(k.Request), Reason: reason}
	switch reason {
	case bbtverdict.ReasonPoolFull, bbtverdict.ReasonEvictedByHigherTier, bbtverdict.ReasonNoOwner:
		s.RetryAfter = retryAfter
	}
	return s
}

// earlier returns the earlier of best and t. The zero time counts as unset, and
// t is ignored unless it is after now.
func earlier(best, t, now time.Time) time.Time {
	if !t.After(now) || !best.IsZero() && best.Before(t) {
		return best
	}
	return t
}
