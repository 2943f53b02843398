// Package bbtgrant is the owner role: it counts the work of the endpoints that
// one host owns, keeps the requests that wait for them, and grants permits to
// the entry hosts that dispatch.
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
	defaultLease      = 2 * time.Second
	defaultPermitLife = time.Second
	defaultWaiting    = 512
)

// Owner decides which waiting request runs next on which owned endpoint. Its
// methods take the current time and return what the driver must do; it is not
// safe for concurrent use.
type Owner struct {
	lease      time.Duration
	permitLife time.Duration
	waiting    int

	confirmed  time.Time
	lastPermit PermitID
	endpoints  map[bbtfleet.EndpointID]*endpoint
	pools      map[bbtfleet.PoolID]*pool
	permits    map[PermitID]*permit
}

// New returns an owner of no endpoints. It grants nothing before its view is
// confirmed.
func New(opts ...Option) *Owner {
	o := &Owner{
		lease:      defaultLease,
		permitLife: defaultPermitLife,
		waiting:    defaultWaiting,
		endpoints:  make(map[bbtfleet.EndpointID]*endpoint),
		pools:      make(map[bbtfleet.PoolID]*pool),
		permits:    make(map[PermitID]*permit),
	}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// Own sets the endpoints the host owns. Requests that wait for a pool without
// endpoints are shed.
func (o *Owner) Own(now time.Time, owned []bbtfleet.Endpoint) []Action {
	keep := make(map[bbtfleet.EndpointID]bool, len(owned))
	for _, ep := range owned {
		keep[ep.ID()] = true
		o.adopt(now, ep)
	}
	for _, id := range slices.Sorted(maps.Keys(o.endpoints)) {
		if !keep[id] {
			o.drop(o.endpoints[id])
		}
	}
	return append(o.shedOrphans(), o.grant(now)...)
}

// Confirm records that the view was compared with the platform or a peer and
// found current.
func (o *Owner) Confirm(now time.Time) []Action {
	o.confirmed = now
	return o.grant(now)
}

// Register puts a request into the waiting room and grants it a permit as soon
// as it is its turn.
func (o *Owner) Register(now time.Time, from bbtfleet.HostID, r Registration) []Action {
	p := o.pools[r.Pool]
	if p == nil || len(p.endpoints) == 0 {
		return []Action{Shed{To: from, Request: r.Request, Reason: bbtverdict.ReasonUnknownPool}}
	}
	return append(p.push(now, from, r), o.grant(now)...)
}

// Withdraw takes a waiting request out.
func (o *Owner) Withdraw(_ time.Time, from bbtfleet.HostID, id RequestID) []Action {
	key := bbtqueue.Key{Host: from, Request: uint64(id)}
	for _, p := range o.pools {
		p.remove(key)
	}
	return nil
}

// Return takes back a permit under which nothing was dispatched.
func (o *Owner) Return(now time.Time, from bbtfleet.HostID, id PermitID) []Action {
	if p := o.permits[id]; p != nil && p.host == from {
		o.release(p)
	}
	return o.grant(now)
}

// Done records the end of a dispatch.
func (o *Owner) Done(now time.Time, from bbtfleet.HostID, d Done) []Action {
	if p := o.permits[d.Permit]; p != nil && p.host == from {
		o.release(p)
	}
	return o.grant(now)
}

// Load records a load report.
func (o *Owner) Load(now time.Time, r LoadReport) []Action {
	if e := o.endpoints[r.Endpoint]; e != nil {
		e.report = r
	}
	return o.grant(now)
}

// Forget records that an entry host died. What it waited for is dropped; its
// permits count until their dispatches must have ended.
func (o *Owner) Forget(now time.Time, host bbtfleet.HostID) []Action {
	for _, p := range o.pools {
		p.forget(host)
	}
	return o.grant(now)
}

// Tick does what is due by time alone.
func (o *Owner) Tick(now time.Time) []Action {
	for _, id := range slices.Sorted(maps.Keys(o.permits)) {
		if p := o.permits[id]; !now.Before(p.until) {
			o.release(p)
		}
	}
	return o.grant(now)
}

// Next returns when Tick is wanted; the zero time if never.
func (o *Owner) Next() time.Time {
	var next time.Time
	for _, p := range o.permits {
		if next.IsZero() || p.until.Before(next) {
			next = p.until
		}
	}
	return next
}
