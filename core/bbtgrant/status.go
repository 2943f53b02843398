package bbtgrant

import (
	"maps"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
)

// EndpointStatus is what an owner knows of one endpoint that it owns.
type EndpointStatus struct {
	endpoint    bbtfleet.EndpointID
	cold        bool
	outstanding int
	foreign     int
	headroom    int
}

// Endpoint returns the endpoint's name.
func (s EndpointStatus) Endpoint() bbtfleet.EndpointID { return s.endpoint }

// Cold reports whether the endpoint's ramp is under way.
func (s EndpointStatus) Cold() bool { return s.cold }

// Outstanding returns how many permits may be running.
func (s EndpointStatus) Outstanding() int { return s.outstanding }

// Foreign returns how many requests of other owners the endpoint runs.
func (s EndpointStatus) Foreign() int { return s.foreign }

// Headroom returns how many more permits may be granted now.
func (s EndpointStatus) Headroom() int { return s.headroom }

// PoolStatus is how many requests wait for a pool.
type PoolStatus struct {
	pool    bbtfleet.PoolID
	waiting int
}

// Pool returns the pool's name.
func (s PoolStatus) Pool() bbtfleet.PoolID { return s.pool }

// Waiting returns how many requests wait.
func (s PoolStatus) Waiting() int { return s.waiting }

// Endpoints returns the status of the owned endpoints in order of their names.
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

// Pools returns how many requests wait for each pool, in order of their names.
func (o *Owner) Pools() []PoolStatus {
	out := make([]PoolStatus, 0, len(o.pools))
	for _, id := range slices.Sorted(maps.Keys(o.pools)) {
		out = append(out, PoolStatus{pool: id, waiting: o.pools[id].queue.Len()})
	}
	return out
}
