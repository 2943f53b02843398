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

// disconnectDelay is how long the end of a dead host's connections takes to show in
// load reports.
const disconnectDelay = 2 * time.Second

// viewFresh reports whether the view was confirmed within the lease.
func (o *Owner) viewFresh(now time.Time) bool {
	return !o.confirmed.IsZero() && now.Sub(o.confirmed) < o.lease
}

// grantAll hands out permits in all pools.
func (o *Owner) grantAll(now time.Time) []Action {
	var out []Action
	for _, id := range o.poolOrder {
		out = append(out, o.grant(now, o.pools[id])...)
	}
	return out
}

// grant hands out permits while requests wait and endpoints have room.
func (o *Owner) grant(now time.Time, p *pool) []Action {
	if p == nil || p.queue.Len() == 0 || !o.viewFresh(now) {
		return nil
	}
	var out []Action
	for available := p.withRoom(now); len(available) > 0; available = p.withRoom(now) {
		c, ok := p.pick(now, available)
		if !ok {
			break
		}
		p.queue.Take(c.item.Key)
		out = append(out, o.permit(now, p, c.endpoint, c.item))
	}
	return out
}

// permit records and returns the grant of one permit.
func (o *Owner) permit(now time.Time, p *pool, e *endpoint, it bbtqueue.Item) Action {
	w := p.waiters[it.Key]
	delete(p.waiters, it.Key)
	o.lastPermitID++
	e.count(now, w.Registration, 1)
	r := &permit{
		id:           o.lastPermitID,
		host:         it.Key.Host,
		endpoint:     e,
		item:         it,
		registration: w.Registration,
		unread:       e.unread(w.Registration),
		granted:      now,
		endsBy:       later(now.Add(o.permitLifetime), it.Deadline.Add(disconnectDelay)),
	}
	e.pace.add(now, r.unread)
	e.cached.markUsed(w.Prefix)
	o.permits.add(r)
	return Grant{To: it.Key.Host, Permit: Permit{
		ID:          r.id,
		Request:     w.Request,
		Endpoint:    e.record.ID(),
		Incarnation: e.incarnation,
		Expiry:      w.SentAt + now.Sub(w.arrived) + o.permitLifetime,
	}}
}

// refund undoes the charge of a permit that was not used.
func (o *Owner) refund(p *permit) {
	if pool := o.pools[p.registration.Pool]; pool != nil {
		pool.queue.Refund(p.item)
	}
}

// release stops counting a permit and grants what it leaves room for.
func (o *Owner) release(now time.Time, p *permit) []Action {
	o.permits.remove(p)
	p.endpoint.count(now, p.registration, -1)
	return o.grant(now, o.pools[p.registration.Pool])
}

// adopt starts or goes on owning an endpoint.
func (o *Owner) adopt(now time.Time, ep bbtfleet.Endpoint) {
	if e := o.endpoints[ep.ID()]; e != nil && e.record.Pool() == ep.Pool() {
		e.configure(ep)
		return
	}
	e := newEndpoint(now, ep, now.Add(o.lease+o.permitLifetime))
	if old := o.endpoints[ep.ID()]; old != nil {
		o.drop(old)
	}
	o.endpoints[ep.ID()] = e
	p := o.pools[ep.Pool()]
	if p == nil {
		p = newPool(o.maxWaiting)
		o.pools[ep.Pool()] = p
	}
	p.endpoints = append(p.endpoints, e)
	slices.SortFunc(p.endpoints, func(a, b *endpoint) int {
		return cmp.Compare(a.record.ID(), b.record.ID())
	})
}

// drop stops owning an endpoint. Its permits stay until their dispatches end.
func (o *Owner) drop(e *endpoint) {
	delete(o.endpoints, e.record.ID())
	if p := o.pools[e.record.Pool()]; p != nil {
		p.endpoints = slices.DeleteFunc(p.endpoints, func(x *endpoint) bool { return x == e })
	}
}

// shedEmptyPools sheds what waits for pools without endpoints.
func (o *Owner) shedEmptyPools() []Action {
	var out []Action
	for _, id := range slices.Sorted(maps.Keys(o.pools)) {
		p := o.pools[id]
		if len(p.endpoints) > 0 {
			continue
		}
		for _, it := range p.drop(func(bbtqueue.Item) bool { return true }) {
			out = append(out, shed(it.Key, bbtverdict.ReasonNoOwner))
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
