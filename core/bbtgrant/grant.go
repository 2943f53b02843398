package bbtgrant

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtqueue"
	"bluebelltray/core/bbtverdict"
)

// fresh reports whether the view was confirmed within the lease.
func (o *Owner) fresh(now time.Time) bool {
	return !o.confirmed.IsZero() && now.Sub(o.confirmed) < o.lease
}

// grant hands out permits while requests wait and endpoints have room.
func (o *Owner) grant(now time.Time) []Action {
	if !o.fresh(now) {
		return nil
	}
	var out []Action
	for _, id := range slices.Sorted(maps.Keys(o.pools)) {
		out = append(out, o.grantPool(now, o.pools[id])...)
	}
	return out
}

func (o *Owner) grantPool(now time.Time, p *pool) []Action {
	var out []Action
	for {
		var best *endpoint
		for _, e := range p.endpoints {
			if e.room() > 0 && (best == nil || e.room() > best.room()) {
				best = e
			}
		}
		if best == nil {
			return out
		}
		it, ok := p.queue.Next(func(it bbtqueue.Item) bool {
			return !slices.Contains(p.waiters[it.Key].Exclude, best.record.ID())
		})
		if !ok {
			return out
		}
		out = append(out, o.permit(now, p, best, it))
	}
}

// permit records and returns the grant of one permit.
func (o *Owner) permit(now time.Time, p *pool, e *endpoint, it bbtqueue.Item) Action {
	w := p.waiters[it.Key]
	delete(p.waiters, it.Key)
	o.lastPermit++
	e.outstanding++
	o.permits[o.lastPermit] = &permit{
		id:       o.lastPermit,
		host:     it.Key.Host,
		endpoint: e.record.ID(),
		until:    later(now.Add(o.permitLife), it.Deadline),
	}
	return Grant{To: it.Key.Host, Permit: Permit{
		ID:          o.lastPermit,
		Request:     w.Request,
		Endpoint:    e.record.ID(),
		Incarnation: e.report.Incarnation,
		Expiry:      w.Sent + now.Sub(w.arrived) + o.permitLife,
	}}
}

// release stops counting a permit.
func (o *Owner) release(p *permit) {
	delete(o.permits, p.id)
	if e := o.endpoints[p.endpoint]; e != nil {
		e.outstanding--
	}
}

// adopt starts or goes on owning an endpoint.
func (o *Owner) adopt(_ time.Time, ep bbtfleet.Endpoint) {
	if e := o.endpoints[ep.ID()]; e != nil {
		e.record = ep
		return
	}
	e := &endpoint{record: ep}
	o.endpoints[ep.ID()] = e
	p := o.pools[ep.Pool()]
	if p == nil {
		p = &pool{queue: bbtqueue.New(o.waiting), waiters: make(map[bbtqueue.Key]waiter)}
		o.pools[ep.Pool()] = p
	}
	p.endpoints = append(p.endpoints, e)
	slices.SortFunc(p.endpoints, func(a, b *endpoint) int {
		return cmp.Compare(a.record.ID(), b.record.ID())
	})
}

// drop stops owning an endpoint.
func (o *Owner) drop(e *endpoint) {
	delete(o.endpoints, e.record.ID())
	if p := o.pools[e.record.Pool()]; p != nil {
		p.endpoints = slices.DeleteFunc(p.endpoints, func(x *endpoint) bool { return x == e })
	}
}

// shedOrphans sheds what waits for pools without endpoints.
func (o *Owner) shedOrphans() []Action {
	var out []Action
	for _, id := range slices.Sorted(maps.Keys(o.pools)) {
		p := o.pools[id]
		if len(p.endpoints) > 0 {
			continue
		}
		for _, it := range p.queue.Evict(func(bbtqueue.Item) bool { return true }) {
			out = append(out, shed(it.Key, bbtverdict.ReasonUnknownPool))
		}
		delete(o.pools, id)
	}
	return out
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
