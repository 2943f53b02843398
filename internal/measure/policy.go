package main

import (
	"math/rand/v2"

	"bluebelltray"
	"bluebelltray/core/bbtroute"
)

// policy is a way to decide, as the hosts of a world run it.
type policy struct {
	name       string
	owners     bool // hosts run the owner role
	onePerPool bool // one host owns all endpoints of a pool
	variant    bool // runs only when it is asked for by name
	entry      func(w *world, h *host) bluebelltray.Policy
}

// everyOwner is a width beyond any fleet's owners.
const everyOwner = 1 << 20

var policies = []policy{
	{name: "grants", owners: true, entry: grants()},
	{name: "round-robin", entry: baseline(roundRobin)},
	{name: "least-loaded", entry: baseline(leastLoaded)},
	{name: "two-choices", entry: baseline(twoChoices)},
	{name: "first-come", entry: shares(false)},
	{name: "ideal", entry: idealEntry},
	{name: "shares", variant: true, entry: shares(true)},
	{name: "grants-1", variant: true, owners: true, entry: grants(bbtroute.WithOwnersPerRequest(1))},
	{name: "grants-2", variant: true, owners: true, entry: grants(bbtroute.WithOwnersPerRequest(2))},
	{name: "grants-3", variant: true, owners: true, entry: grants(bbtroute.WithOwnersPerRequest(3))},
	{name: "grants-all", variant: true, owners: true, entry: grants(bbtroute.WithOwnersPerRequest(everyOwner))},
	{name: "grants-one-owner", variant: true, owners: true, onePerPool: true, entry: grants()},
}

func grants(opts ...bbtroute.Option) func(*world, *host) bluebelltray.Policy {
	return func(w *world, h *host) bluebelltray.Policy { return bbtroute.New(h.id, w.now, opts...) }
}

func baseline(pick func(*direct, []*known) *known) func(*world, *host) bluebelltray.Policy {
	return func(w *world, _ *host) bluebelltray.Policy {
		rng := rand.New(rand.NewPCG(w.rng.Uint64(), 2))
		d := newDirect(rng, 0, false, pick)
		d.turn = rng.IntN(w.spec.fleet.engines)
		return d
	}
}

// shares gives each host its own part of each endpoint's slots.
func shares(byTier bool) func(*world, *host) bluebelltray.Policy {
	return func(w *world, _ *host) bluebelltray.Policy {
		return newDirect(nil, w.spec.fleet.hosts, byTier, leastOwn)
	}
}

func idealEntry(w *world, h *host) bluebelltray.Policy {
	if w.ideal == nil {
		w.ideal = &ideal{w: w, onWay: make(map[*engine]int)}
	}
	return &idealHost{direct: newDirect(nil, 0, false, leastOwn), all: w.ideal, host: h}
}
