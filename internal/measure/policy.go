package main

import (
	"math/rand/v2"

	"bluebelltray"
	"bluebelltray/core/bbtroute"
)

// policy is a dispatch policy that the hosts of a world run.
type policy struct {
	name         string
	owners       bool // hosts run the owner role
	onePerPool   bool // one host owns all endpoints of a pool
	explicitOnly bool // runs only when selected by name
	newPolicy    func(w *world, h *host) bluebelltray.Policy
}

// allOwners exceeds the number of owners in any fleet.
const allOwners = 1 << 20

var policies = []policy{
	{name: "grants", owners: true, newPolicy: grantsPolicy()},
	{name: "round-robin", newPolicy: baseline(roundRobin)},
	{name: "least-loaded", newPolicy: baseline(leastLoaded)},
	{name: "two-choices", newPolicy: baseline(twoChoices)},
	{name: "first-come", newPolicy: slotShares(false)},
	{name: "ideal", newPolicy: newIdealPolicy},
	{name: "shares", explicitOnly: true, newPolicy: slotShares(true)},
	{name: "grants-1", explicitOnly: true, owners: true, newPolicy: grantsPolicy(bbtroute.WithOwnersPerRequest(1))},
	{name: "grants-2", explicitOnly: true, owners: true, newPolicy: grantsPolicy(bbtroute.WithOwnersPerRequest(2))},
	{name: "grants-3", explicitOnly: true, owners: true, newPolicy: grantsPolicy(bbtroute.WithOwnersPerRequest(3))},
	{name: "grants-all", explicitOnly: true, owners: true, newPolicy: grantsPolicy(bbtroute.WithOwnersPerRequest(allOwners))},
	{name: "grants-one-owner", explicitOnly: true, owners: true, onePerPool: true, newPolicy: grantsPolicy()},
}

func grantsPolicy(opts ...bbtroute.Option) func(*world, *host) bluebelltray.Policy {
	return func(w *world, h *host) bluebelltray.Policy { return bbtroute.New(h.id, w.now, opts...) }
}

func baseline(pick func(*direct, []*endpointState) *endpointState) func(*world, *host) bluebelltray.Policy {
	return func(w *world, _ *host) bluebelltray.Policy {
		rng := rand.New(rand.NewPCG(w.rng.Uint64(), 2))
		d := newDirect(rng, 0, false, pick)
		d.nextIndex = rng.IntN(w.spec.fleet.engines)
		return d
	}
}

// slotShares is a policy without owners in which each host may use an equal share
// of each endpoint's slots.
func slotShares(byTier bool) func(*world, *host) bluebelltray.Policy {
	return func(w *world, _ *host) bluebelltray.Policy {
		return newDirect(nil, w.spec.fleet.hosts, byTier, leastInFlight)
	}
}

func newIdealPolicy(w *world, h *host) bluebelltray.Policy {
	if w.ideal == nil {
		w.ideal = &ideal{w: w, inTransit: make(map[*engine]int)}
	}
	return &idealPolicy{direct: newDirect(nil, 0, false, leastInFlight), scheduler: w.ideal, host: h}
}
