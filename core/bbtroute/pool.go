package bbtroute

import (
	"cmp"
	"encoding/binary"
	"slices"

	"bluebelltray/core/bbtfleet"
	"github.com/cespare/xxhash/v2"
)

// pool holds the endpoints of one model or service and their owners.
type pool struct {
	targets []target
	owners  int // number of distinct owners
}

// target is an endpoint with the hash of its ID.
type target struct {
	Target
	hash uint64
}

func groupByPool(targets []Target) map[bbtfleet.PoolID]*pool {
	pools := make(map[bbtfleet.PoolID]*pool)
	for _, t := range targets {
		p := pools[t.Endpoint.Pool()]
		if p == nil {
			p = &pool{}
			pools[t.Endpoint.Pool()] = p
		}
		if !p.hasOwner(t.Owner) {
			p.owners++
		}
		p.targets = append(p.targets, target{Target: t, hash: xxhash.Sum64String(string(t.Endpoint.ID()))})
	}
	return pools
}

// hasOwner reports whether the host owns an endpoint of the pool.
func (p *pool) hasOwner(h bbtfleet.HostID) bool {
	return p != nil && slices.ContainsFunc(p.targets, func(t target) bool { return t.Owner == h })
}

// rank returns the owners in the order in which a request with the key tries
// them, by rendezvous hashing of the endpoints. Requests with the same key try
// the same endpoint's owner first, whichever host they enter at; different keys
// are spread over all endpoints.
func (p *pool) rank(key uint64, exclude []bbtfleet.EndpointID) []bbtfleet.HostID {
	type ranked struct {
		weight uint64
		owner  bbtfleet.HostID
	}
	order := make([]ranked, 0, len(p.targets))
	for _, t := range p.targets {
		if !slices.Contains(exclude, t.Endpoint.ID()) {
			order = append(order, ranked{weight: mix(key, t.hash), owner: t.Owner})
		}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.owner, b.owner))
	})
	owners := make([]bbtfleet.HostID, 0, p.owners)
	for _, r := range order {
		if !slices.Contains(owners, r.owner) {
			owners = append(owners, r.owner)
		}
	}
	return owners
}

// mix hashes a request's key with an endpoint's hash.
func mix(key, endpoint uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], endpoint)
	return xxhash.Sum64(b[:])
}
