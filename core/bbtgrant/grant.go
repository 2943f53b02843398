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

// disconnectDelay is the time until load reports show that the connection of a
// request has closed, after the request's deadline or the death of its host.
const disconnectDelay = 2 * time.Second

// viewFresh reports whether the view was confirmed within the lease.
func (o *Owner) viewFresh(now time.Time) bool {
	return !o.confirmedAt.IsZero() && now.Sub(o.confirmedAt) < o.lease
}

// grantAll grants permits in all pools.
func (o *Owner) grantAll(now time.Time) []Action {
	var out []Action
	for _, id := range o.poolOrder {
		out = append(out, o.grant(now, o.pools[id])...)
	}
	return out
}

// grant grants permits while requests wait and endpoints have capacity.
func (o *Owner) grant(now time.Time, p *pool) []Action {
	if p == nil || p.queue.Len() == 0 || !o.viewFresh(now) {
		return nil
	}
	var out []Action
	for available := p.withCapacity(now); len(available) > 0; available = p.withCapacity(now) {
		c, ok := p.pick(now, available)
		if !ok {
			break
		}
		p.queue.Take(c.item.Key)
		out = append(out, o.permit(now, p, c.endpoint, c.item))
	}
	return out
}

// permit records a new permit and returns its grant.
func (o *Owner) permit(now time.Time, p *pool, e *endpoint, it bbtqueue.Item) Action {
	w := p.waiters[it.Key]
	delete(p.waiters, it.Key)
	o.lastPermitID++
	e.addOutstanding(now, w.Registration, 1)
	r := &permit{
		id:           o.lastPermitID,
		host:         it.Key.Host,
		endpoint:     e,
		item:         it,
		registration: w.Registration,
		unread:       e.unread(w.Registration),
		grantedAt:    now,
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
		Expiry:      w.SentAt + now.Sub(w.arrivedAt) + o.permitLifetime,
	}}
}

// refund undoes the charge to the account's fair share for an unused permit.
func (o *Owner) refund(p *permit) {
	if pool := o.pools[p.registration.Pool]; pool != nil {
		pool.queue.Refund(p.item)
	}
}

// release removes a permit and grants others with the capacity that this frees.
func (o *Owner) release(now time.Time, p *permit) []Action {
	o.permits.remove(p)
	p.endpoint.addOutstanding(now, p.registration, -1)
	return o.grant(now, o.pools[p.registration.Pool])
}

// setEndpoint adds an endpoint, or updates one that is already owned.
func (o *Owner) setEndpoint(now time.Time, ep bbtfleet.Endpoint) {
	if e := o.endpoints[ep.ID()]; e != nil && e.record.Pool() == ep.Pool() {
		e.configure(ep)
		return
	}
	e := newEndpoint(now, ep, now.Add(o.lease+o.permitLifetime))
	if old := o.endpoints[ep.ID()]; old != nil {
		o.removeEndpoint(old)
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

// removeEndpoint removes an endpoint. Its permits stay recorded until their
// dispatches end.
func (o *Owner) removeEndpoint(e *endpoint) {
	delete(o.endpoints, e.record.ID())
	if p := o.pools[e.record.Pool()]; p != nil {
		p.endpoints = slices.DeleteFunc(p.endpoints, func(x *endpoint) bool { return x == e })
	}
}

// shedEmptyPools removes pools without endpoints and sheds their waiting
// requests.
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
