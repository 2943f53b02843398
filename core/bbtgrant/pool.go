package bbtgrant

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtqueue"
	"bluebelltray/core/bbtverdict"
)

// pool is the waiting room and the owned endpoints of one pool.
type pool struct {
	queue     *bbtqueue.Queue
	waiters   map[bbtqueue.Key]waiter
	endpoints []*endpoint // sorted by name
}

// waiter is a registration with the time it arrived.
type waiter struct {
	Registration
	arrived time.Time
}

// push puts a registration into the waiting room.
func (p *pool) push(now time.Time, from bbtfleet.HostID, r Registration) []Action {
	it := bbtqueue.Item{
		Key:      bbtqueue.Key{Host: from, Request: uint64(r.Request)},
		Tier:     r.Tier,
		Account:  r.Account,
		Deadline: now.Add(r.Left),
		Cost:     float64(r.Prompt + r.Output),
	}
	evicted, full := p.queue.Push(it)
	if full && evicted.Key == it.Key {
		return []Action{shed(it.Key, bbtverdict.ReasonNoRoom)}
	}
	p.waiters[it.Key] = waiter{Registration: r, arrived: now}
	if !full {
		return nil
	}
	delete(p.waiters, evicted.Key)
	return []Action{shed(evicted.Key, bbtverdict.ReasonEvicted)}
}

func (p *pool) remove(k bbtqueue.Key) {
	p.queue.Remove(k)
	delete(p.waiters, k)
}

// forget drops what a host waited for.
func (p *pool) forget(host bbtfleet.HostID) {
	for _, it := range p.queue.Evict(func(it bbtqueue.Item) bool { return it.Key.Host == host }) {
		delete(p.waiters, it.Key)
	}
}

func shed(k bbtqueue.Key, reason bbtverdict.Reason) Shed {
	return Shed{To: k.Host, Request: RequestID(k.Request), Reason: reason}
}
