package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"bluebelltray/core/bbtfleet"
)

// fleet describes a deployment.
type fleet struct {
	zones            []bbtfleet.ZoneID
	hosts            int
	engines          int // model engines, alternating between two generations
	plainServices    int
	interZoneLatency time.Duration // one way
	callerLatency    time.Duration // one way
}

const intraZoneLatency = 300 * time.Microsecond // one way

var (
	// ciocche is a small fleet whose four zones are in different cities.
	ciocche = fleet{
		zones: []bbtfleet.ZoneID{"mi-lambrate", "to-lingotto", "bo-navile", "vr-borgo"},
		hosts: 8, engines: 10, plainServices: 4,
		interZoneLatency: 1500 * time.Microsecond, callerLatency: 3 * time.Millisecond,
	}

	// clyde is a small fleet with two zones in one city and two in others; its latencies
	// are lower than those of ciocche.
	clyde = fleet{
		zones: []bbtfleet.ZoneID{"glasgow-a", "glasgow-b", "edin-a", "falkirk-a"},
		hosts: 6, engines: 12, plainServices: 4,
		interZoneLatency: time.Millisecond, callerLatency: time.Millisecond,
	}

	// singleModelFleet is the part of a fleet of the target size that serves one of its 13
	// models: all entry hosts and the model's share of the 600 servers.
	singleModelFleet = fleet{
		zones: []bbtfleet.ZoneID{"a", "b", "c", "d", "e", "f", "g"},
		hosts: 400, engines: 46,
		interZoneLatency: 1500 * time.Microsecond, callerLatency: 3 * time.Millisecond,
	}

	olderGeneration   = generation{base: 14 * time.Millisecond, perSlot: 450 * time.Microsecond, prefillRate: 10_000, slots: 32}
	newerGeneration   = generation{base: 10 * time.Millisecond, perSlot: 300 * time.Microsecond, prefillRate: 20_000, slots: 48}
	serviceGeneration = generation{base: 4 * time.Millisecond, perSlot: 50 * time.Microsecond, prefillRate: 1e6, slots: 16}
)

const (
	modelPool = bbtfleet.PoolID("model")
	plainPool = bbtfleet.PoolID("tracking")
)

// class describes the traffic of one client account.
type class struct {
	account  bbtfleet.AccountID
	tier     bbtfleet.Tier
	pool     bbtfleet.PoolID
	share    float64 // fraction of all requests
	prompt   float64 // median tokens
	output   float64 // median tokens
	deadline time.Duration
}

// classes are the five accounts that use the model engines, some with a large share
// of the traffic. The median lengths differ by a factor of 8 for prompts and of 12.5 for
// answers; lengthSigma adds to the spread.
var classes = []class{
	{"tracking", 1, modelPool, 0.30, 150, 40, 8 * time.Second},
	{"letters", 1, modelPool, 0.08, 800, 500, 90 * time.Second},
	{"intake", 2, modelPool, 0.25, 1200, 180, 25 * time.Second},
	{"desks", 2, modelPool, 0.12, 400, 120, 20 * time.Second},
	{"compliance", 3, modelPool, 0.25, 1000, 250, 60 * time.Second},
}

// couriers is the traffic class of the plain services.
var couriers = class{"couriers", 1, plainPool, 0, 20, 4, 2 * time.Second}

const couriersPerSecond = 40.0 // requests per second

const (
	lengthSigma      = 0.6 // standard deviation of the logarithm of request lengths
	maxTokens        = 2000
	prefixesPerClass = 60  // shared prompt prefixes of each class
	prefixShare      = 0.6 // length of the prefix as a fraction of the prompt
	maxLimitExcess   = 1.0 // largest excess of a caller's token limit over the answer's length, as a fraction of the length
	capacitySamples  = 2000
)

// request is a caller's request. Only the engine and the ideal scheduler know output
// in advance.
type request struct {
	id           int
	class        class
	prompt       int
	output       int // tokens of the answer
	outputLimit  int // tokens that the caller allows for the answer
	prefix       uint64
	prefixTokens int
	poison       bool // crashes the engine that runs it
	maxRepeats   int
	arrived      time.Time
	deadline     time.Time
	state        requestState
	dispatches   int // since the last submission
	outstanding  int // dispatches whose end the host has not seen
	crashes      int // engines crashed by this request
	refusals     int // dispatches since the last submission that an engine refused and did not run
}

// draw returns a random request of the class.
func (c class) draw(rng *rand.Rand) *request {
	length := func(median float64) int {
		return int(min(maxTokens, max(2, median*lognormal(rng))))
	}
	r := &request{class: c, prompt: length(c.prompt), output: length(c.output)}
	r.outputLimit = r.output + int(float64(r.output)*maxLimitExcess*rng.Float64())
	// The deadline differs between classes, so classes share no prefix.
	r.prefix = 1 + uint64(rng.IntN(prefixesPerClass)) + 1000*uint64(c.deadline/time.Second)
	r.prefixTokens = int(float64(r.prompt) * prefixShare)
	return r
}

// drawClass returns a random class, weighted by share.
func drawClass(rng *rand.Rand) class {
	x := rng.Float64()
	for _, c := range classes {
		if x < c.share {
			return c
		}
		x -= c.share
	}
	return classes[len(classes)-1]
}

// capacity returns the requests per second that saturate the fleet's model engines
// without prefix cache hits.
func (f fleet) capacity(rng *rand.Rand) float64 {
	var prompt, output float64
	for range capacitySamples {
		r := drawClass(rng).draw(rng)
		prompt += float64(r.prompt) / capacitySamples
		output += float64(r.output) / capacitySamples
	}
	var sum float64
	for i := range f.engines {
		g := f.generation(i)
		step := g.base + time.Duration(g.slots)*g.perSlot
		sum += 1 / (output*step.Seconds()/float64(g.slots) + prompt/g.prefillRate)
	}
	return sum
}

func (f fleet) generation(i int) generation {
	if i >= f.engines {
		return serviceGeneration
	}
	if i%2 == 0 {
		return newerGeneration
	}
	return olderGeneration
}

// endpoint returns the i-th endpoint; the plain services follow the engines.
func (f fleet) endpoint(i int) bbtfleet.Endpoint {
	kind, pool := bbtfleet.ModelEngine, modelPool
	if i >= f.engines {
		kind, pool = bbtfleet.PlainService, plainPool
	}
	id := bbtfleet.EndpointID(fmt.Sprintf("ep-%02d", i))
	// Consecutive pairs share a zone, so that each zone has both generations.
	zone := f.zones[i/2%len(f.zones)]
	return bbtfleet.NewEndpoint(id, zone, kind, pool, bbtfleet.WithSlots(f.generation(i).slots))
}

func (f fleet) latency(a, b bbtfleet.ZoneID, rng *rand.Rand) time.Duration {
	d := f.interZoneLatency
	if a == b {
		d = intraZoneLatency
	}
	return d + time.Duration(rng.Int64N(int64(d)/5+1))
}

// lognormal returns a log-normally distributed factor with median one.
func lognormal(rng *rand.Rand) float64 { return math.Exp(lengthSigma * rng.NormFloat64()) }
