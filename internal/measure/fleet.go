package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"bluebelltray/core/bbtfleet"
)

// fleet is the shape of a deployment.
type fleet struct {
	zones   []bbtfleet.ZoneID
	hosts   int
	engines int           // model engines, of two generations by turns
	plain   int           // plain services
	across  time.Duration // one way between zones
	clients time.Duration // one way to callers
}

const withinZone = 300 * time.Microsecond // one way inside a zone

var (
	ciocche = fleet{
		zones: []bbtfleet.ZoneID{"mi-lambrate", "to-lingotto", "bo-navile", "vr-borgo"},
		hosts: 8, engines: 10, plain: 4,
		across: 1500 * time.Microsecond, clients: 3 * time.Millisecond,
	}
	clyde = fleet{
		zones: []bbtfleet.ZoneID{"glasgow-a", "glasgow-b", "edin-a", "falkirk-a"},
		hosts: 6, engines: 12, plain: 4,
		across: time.Millisecond, clients: time.Millisecond,
	}

	// slice is one of 13 models at the target size: all entry hosts, the
	// model's part of the 600 servers.
	slice = fleet{
		zones: []bbtfleet.ZoneID{"a", "b", "c", "d", "e", "f", "g"},
		hosts: 400, engines: 46,
		across: 1500 * time.Microsecond, clients: 3 * time.Millisecond,
	}

	older   = generation{base: 14 * time.Millisecond, perSlot: 450 * time.Microsecond, prefill: 10_000, slots: 32}
	newer   = generation{base: 10 * time.Millisecond, perSlot: 300 * time.Microsecond, prefill: 20_000, slots: 48}
	service = generation{base: 4 * time.Millisecond, perSlot: 50 * time.Microsecond, prefill: 1e6, slots: 16}
)

const (
	modelPool = bbtfleet.PoolID("model")
	plainPool = bbtfleet.PoolID("tracking")
)

// class is the traffic of one client account.
type class struct {
	account  bbtfleet.AccountID
	tier     bbtfleet.Tier
	pool     bbtfleet.PoolID
	share    float64 // of all requests
	prompt   float64 // median tokens
	output   float64 // median tokens
	deadline time.Duration
}

// classes are five accounts, a few of them large, with lengths that spread a
// hundredfold.
var classes = []class{
	{"tracking", 1, modelPool, 0.30, 150, 40, 8 * time.Second},
	{"letters", 1, modelPool, 0.08, 800, 500, 90 * time.Second},
	{"intake", 2, modelPool, 0.25, 1200, 180, 25 * time.Second},
	{"desks", 2, modelPool, 0.12, 400, 120, 20 * time.Second},
	{"compliance", 3, modelPool, 0.25, 1000, 250, 60 * time.Second},
}

// couriers is the traffic to the plain services.
var couriers = class{"couriers", 1, plainPool, 0, 20, 4, 2 * time.Second}

const couriersRate = 40.0 // requests a second

const (
	lengthSpread   = 0.6 // standard deviation of the logarithm of lengths
	longest        = 2000
	prefixes       = 60  // shared starts of prompts, each class
	prefixPart     = 0.6 // of the prompt
	limitSlack     = 1.0 // how far the caller's token limit may exceed the answer, as a share
	samplesForLoad = 2000
)

// request is one request with what only its engine knows.
type request struct {
	id           int
	class        class
	prompt       int
	output       int // tokens the answer has
	limit        int // tokens the caller allows
	prefix       uint64
	prefixTokens int
	poison       bool
	repeats      int
	arrived      time.Time
	deadline     time.Time
	state        requestState
	dispatches   int // in all
	running      int // not yet ended, as far as the host knows
	crashes      int // engines it took down
	refusals     int // dispatches that provably did not run
}

// draw returns a request of the class.
func (k class) draw(rng *rand.Rand) *request {
	length := func(median float64) int {
		return int(min(longest, max(2, median*lognormal(rng))))
	}
	r := &request{class: k, prompt: length(k.prompt), output: length(k.output)}
	r.limit = r.output + int(float64(r.output)*limitSlack*rng.Float64())
	r.prefix = 1 + uint64(rng.IntN(prefixes)) + 1000*uint64(k.deadline/time.Second)
	r.prefixTokens = int(float64(r.prompt) * prefixPart)
	return r
}

// drawClass picks a class by its share.
func drawClass(rng *rand.Rand) class {
	x := rng.Float64()
	for _, k := range classes {
		if x < k.share {
			return k
		}
		x -= k.share
	}
	return classes[len(classes)-1]
}

// capacity returns the requests a second that keep the fleet's model engines
// exactly full, without help from their caches.
func (f fleet) capacity(rng *rand.Rand) float64 {
	var prompt, output float64
	for range samplesForLoad {
		r := drawClass(rng).draw(rng)
		prompt += float64(r.prompt) / samplesForLoad
		output += float64(r.output) / samplesForLoad
	}
	var sum float64
	for i := range f.engines {
		g := f.generation(i)
		step := g.base + time.Duration(g.slots)*g.perSlot
		sum += 1 / (output*step.Seconds()/float64(g.slots) + prompt/g.prefill)
	}
	return sum
}

func (f fleet) generation(i int) generation {
	if i >= f.engines {
		return service
	}
	if i%2 == 0 {
		return newer
	}
	return older
}

// endpoint returns the record of the i-th endpoint; the plain services follow
// the engines.
func (f fleet) endpoint(i int) bbtfleet.Endpoint {
	kind, pool := bbtfleet.ModelEngine, modelPool
	if i >= f.engines {
		kind, pool = bbtfleet.PlainService, plainPool
	}
	id := bbtfleet.EndpointID(fmt.Sprintf("ep-%02d", i))
	// Neighbouring pairs share a zone, so that each zone has both generations.
	zone := f.zones[i/2%len(f.zones)]
	return bbtfleet.NewEndpoint(id, zone, kind, pool, bbtfleet.WithSlots(f.generation(i).slots))
}

func (f fleet) latency(a, b bbtfleet.ZoneID, rng *rand.Rand) time.Duration {
	d := f.across
	if a == b {
		d = withinZone
	}
	return d + time.Duration(rng.Int64N(int64(d)/5+1))
}

// lognormal returns a factor with median one.
func lognormal(rng *rand.Rand) float64 { return math.Exp(lengthSpread * rng.NormFloat64()) }
