package bbtroute

import (
	"slices"

	"bluebelltray/core/bbtfleet"
)

// pool is the endpoints of one model or service and their owners.
type pool struct {
	targets []Target
	owners  []bbtfleet.HostID // sorted
}

func poolsOf(targets []Target) map[bbtfleet.PoolID]*pool {
	pools := make(map[bbtfleet.PoolID]*pool)
	for _, t := range targets {
		p := pools[t.Endpoint.Pool()]
		if p == nil {
			p = &pool{}
			pools[t.Endpoint.Pool()] = p
		}
		p.targets = append(p.targets, t)
		if i, ok := slices.BinarySearch(p.owners, t.Owner); !ok {
			p.owners = slices.Insert(p.owners, i, t.Owner)
		}
	}
	return pools
}

// has reports whether the host owns an endpoint of the pool.
func (p *pool) has(h bbtfleet.HostID) bool {
	if p == nil {
		return false
	}
	_, ok := slices.BinarySearch(p.owners, h)
	return ok
}
