package bbtgrant

import (
	"maps"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
)

// EndpointStatus is the state of an owned endpoint.
type EndpointStatus struct {
	endpoint    bbtfleet.EndpointID
	cold        bool
	outstanding int
	foreign     int
	headroom    int
}

// Endpoint returns the endpoint's ID.
func (s EndpointStatus) Endpoint() bbtfleet.EndpointID { return s.endpoint }

// Cold reports whether the endpoint is cold, with its limit still being raised.
func (s EndpointStatus) Cold() bool { return s.cold }

// Outstanding returns the number of permits whose requests may be running.
func (s EndpointStatus) Outstanding() int { return s.outstanding }

// Foreign returns the number of requests of other owners on the endpoint.
func (s EndpointStatus) Foreign() int { return s.foreign }

// Headroom returns how many more permits may be granted now.
func (s EndpointStatus) Headroom() int { return s.headroom }

// PoolStatus is the number of requests that wait for a pool.
type PoolStatus struct {
	pool    bbtfleet.PoolID
	waiting int
}

// Pool returns the pool's ID.
func (s PoolStatus) Pool() bbtfleet.PoolID { return s.pool }

// Waiting returns the number of waiting requests.
func (s PoolStatus) Waiting() int { return s.waiting }

// Endpoints returns the status of the owned endpoints, sorted by ID.
func (o *Owner) Endpoints(now time.Time) []EndpointStatus {
	out := make([]EndpointStatus, 0, len(o.endpoints))
	for _, id := range slices.Sorted(maps.Keys(o.endpoints)) {
		e := o.endpoints[id]
		out = append(out, EndpointStatus{
			endpoint:    id,
			cold:        !e.ramp.warm,
			outstanding: e.outstanding,
			foreign:     e.foreign,
			headroom:    max(0, e.headroom(now)),
		})
	}
	return out
}

// Pools returns the status of each pool, sorted by ID.
func (o *Owner) Pools() []PoolStatus {
	out := make([]PoolStatus, 0, len(o.pools))
	for _, id := range slices.Sorted(maps.Keys(o.pools)) {
		out = append(out, PoolStatus{pool: id, waiting: o.pools[id].queue.Len()})
	}
	return out
}
