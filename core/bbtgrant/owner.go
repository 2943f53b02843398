// Package bbtgrant implements the owner role: it tracks the load of the
// endpoints that one host owns, queues the requests that wait for them, and
// grants permits to the entry hosts that dispatch the requests.
package bbtgrant

import (
	"maps"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtqueue"
	"bluebelltray/core/bbtverdict"
)

const (
	defaultLease          = 2 * time.Second
	defaultPermitLifetime = time.Second
	defaultMaxWaiting     = 512
)

// Owner decides which waiting request runs next on which owned endpoint. Its
// methods take the current time and return the actions that the driver must
// take. It is not safe for concurrent use.
type Owner struct {
	lease          time.Duration
	permitLifetime time.Duration
	maxWaiting     int

	confirmedAt  time.Time // when the view was last confirmed
	lastPermitID PermitID
	endpoints    map[bbtfleet.EndpointID]*endpoint
	pools        map[bbtfleet.PoolID]*pool
	poolOrder    []bbtfleet.PoolID // keys of pools, sorted
	permits      permits
}

// New returns an Owner without endpoints. It grants no permits until
// ConfirmView is called.
func New(opts ...Option) *Owner {
	o := &Owner{
		lease:          defaultLease,
		permitLifetime: defaultPermitLifetime,
		maxWaiting:     defaultMaxWaiting,
		endpoints:      make(map[bbtfleet.EndpointID]*endpoint),
		pools:          make(map[bbtfleet.PoolID]*pool),
	}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// SetEndpoints sets the endpoints that the host owns. Requests that wait for a
// pool without endpoints are shed.
func (o *Owner) SetEndpoints(now time.Time, owned []bbtfleet.Endpoint) []Action {
	keep := make(map[bbtfleet.EndpointID]bool, len(owned))
	for _, ep := range owned {
		keep[ep.ID()] = true
		o.setEndpoint(now, ep)
	}
	for _, id := range slices.Sorted(maps.Keys(o.endpoints)) {
		if !keep[id] {
			o.removeEndpoint(o.endpoints[id])
		}
	}
	out := o.shedEmptyPools()
	o.poolOrder = slices.Sorted(maps.Keys(o.pools))
	return append(out, o.grantAll(now)...)
}

// Owns reports whether the host owns the endpoint.
func (o *Owner) Owns(id bbtfleet.EndpointID) bool { return o.endpoints[id] != nil }

// ConfirmView records that the host's view of the configuration and the host
// list has been checked against the platform's configuration service or a peer
// and is current.
func (o *Owner) ConfirmView(now time.Time) []Action {
	o.confirmedAt = now
	return o.grantAll(now)
}

// Register queues a request and grants it a permit when its turn comes.
func (o *Owner) Register(now time.Time, from bbtfleet.HostID, r Registration) []Action {
	p := o.pools[r.Pool]
	if p == nil {
		return []Action{Shed{To: from, Request: r.Request, Reason: bbtverdict.ReasonNoOwner, RetryAfter: retryAfter}}
	}
	return append(p.push(now, from, r), o.grant(now, p)...)
}

// Withdraw removes a waiting request from the queue.
func (o *Owner) Withdraw(_ time.Time, from bbtfleet.HostID, id RequestID) []Action {
	key := bbtqueue.Key{Host: from, Request: uint64(id)}
	for _, p := range o.pools {
		p.remove(key)
	}
	return nil
}

// Return releases a permit that was not used for a dispatch.
func (o *Owner) Return(now time.Time, from bbtfleet.HostID, id PermitID) []Action {
	p := o.permits.get(from, id)
	if p == nil {
		return nil
	}
	p.endpoint.pace.unread(p.unread)
	o.refund(p)
	return o.release(now, p)
}

// DispatchEnded records the end of a dispatch and releases its permit.
func (o *Owner) DispatchEnded(now time.Time, from bbtfleet.HostID, d DispatchEnded) []Action {
	p := o.permits.get(from, d.Permit)
	if p == nil {
		return nil
	}
	p.endpoint.dispatchEnded(now, p.grantedAt, d)
	if pool := o.pools[p.registration.Pool]; pool != nil && d.Outcome == Finished {
		pool.lengths.learn(p.registration.OutputTokens, d.OutputTokens)
	}
	return o.release(now, p)
}

// UpdateLoad records a load report.
func (o *Owner) UpdateLoad(now time.Time, r LoadReport) []Action {
	e := o.endpoints[r.Endpoint]
	if e == nil {
		return nil
	}
	e.updateLoad(now, r)
	return o.grant(now, o.pools[e.record.Pool()])
}

// UpdateCache records a cache event.
func (o *Owner) UpdateCache(_ time.Time, c CacheEvent) []Action {
	e := o.endpoints[c.Endpoint]
	switch {
	case e == nil:
	case c.Evicted:
		e.cached.drop(c.Prefix)
	default:
		e.cached.markUsed(c.Prefix)
	}
	return nil
}

// EntryHostLost records that an entry host has died. Its waiting requests are
// removed. Its permits count until disconnectDelay after the latest time at which
// they can expire; requests that still run after that appear in the endpoints'
// load reports.
func (o *Owner) EntryHostLost(now time.Time, host bbtfleet.HostID) []Action {
	for _, p := range o.pools {
		p.drop(func(it bbtqueue.Item) bool { return it.Key.Host == host })
	}
	for _, id := range slices.Sorted(maps.Keys(o.permits.byID)) {
		if p := o.permits.byID[id]; p.host == host {
			o.permits.setEndsBy(p, now.Add(o.permitLifetime+disconnectDelay))
		}
	}
	return o.grantAll(now)
}

// Tick releases permits whose dispatches are assumed to have ended, sheds
// requests that can no longer meet their deadlines, and grants permits.
func (o *Owner) Tick(now time.Time) []Action {
	var out []Action
	for p := o.permits.due(now); p != nil; p = o.permits.due(now) {
		out = append(out, o.release(now, p)...)
	}
	for _, id := range o.poolOrder {
		out = append(out, o.pools[id].expire(now)...)
	}
	return append(out, o.grantAll(now)...)
}

// Next returns when Tick should be called next, or the zero time if no call is
// needed.
func (o *Owner) Next() time.Time {
	next := o.permits.next()
	for _, id := range o.poolOrder {
		next = earlier(next, o.pools[id].next(), time.Time{})
	}
	return next
}
