package main

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bluebelltray/core/bbtconfig"
	"bluebelltray/core/bbtfleet"
)

const (
	latency         = 1500 * time.Microsecond // one way between hosts
	latencyRange    = time.Millisecond        // upper bound of the random delay added
	defaultLossRate = 0.001                   // fraction of the messages between hosts that are lost
	listLag         = 5 * time.Second         // until the host list reflects a change of the hosts
)

// world simulates the hosts, the platform and the network between them in virtual
// time on one goroutine.
type world struct {
	settings settings
	now      time.Time
	rng      *rand.Rand
	events   events
	seq      int // number of events scheduled
	hosts    []*host
	byID     map[bbtfleet.HostID]*host
	zones    []bbtfleet.Zone
	platform *platform
	parsed   map[bbtfleet.Version]parsed
	checks   *checks
	stats    *stats
	lossRate float64

	// blocked reports whether messages from one host to another are lost. An empty
	// ID stands for the platform.
	blocked func(from, to bbtfleet.HostID) bool

	endpoints []bbtfleet.Endpoint
	contracts []bbtfleet.Contract
	revision  bbtfleet.Revision
}

// parsed is the result of parsing a configuration and the processor time it took.
type parsed struct {
	config *bbtfleet.Configuration
	err    error
	cost   time.Duration
}

// newWorld returns a world whose hosts are not started.
func newWorld(s settings) *world {
	w := &world{
		settings: s,
		now:      time.Unix(0, 0),
		rng:      rand.New(rand.NewPCG(s.Seed, 0)),
		byID:     make(map[bbtfleet.HostID]*host),
		parsed:   make(map[bbtfleet.Version]parsed),
		checks:   newChecks(),
		lossRate: defaultLossRate,
		blocked:  func(_, _ bbtfleet.HostID) bool { return false },
	}
	w.platform = &platform{world: w}
	w.stats = newStats(w.now)
	for i := range s.Zones {
		w.zones = append(w.zones, bbtfleet.NewZone(bbtfleet.ZoneID(fmt.Sprintf("zone-%d", i)), "region-0", false))
	}
	for i := range s.Hosts {
		id := bbtfleet.HostID(fmt.Sprintf("host-%03d", i))
		h := &host{world: w, id: id, zone: w.zones[i%s.Zones].ID(), rng: rand.New(rand.NewPCG(s.Seed, uint64(i)+1))}
		w.hosts = append(w.hosts, h)
		w.byID[id] = h
	}
	for i := range s.Endpoints {
		id := bbtfleet.EndpointID(fmt.Sprintf("llm-%03d", i))
		pool := bbtfleet.PoolID(fmt.Sprintf("model-%02d", i%13))
		addr := fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250+1)
		w.endpoints = append(w.endpoints, bbtfleet.NewEndpoint(id, w.zones[i%s.Zones].ID(), bbtfleet.ModelEngine, pool,
			bbtfleet.WithSlots(16), bbtfleet.WithAddr(addr)))
	}
	for i := range s.Contracts {
		w.contracts = append(w.contracts, contract(i, 0))
	}
	w.platform.storeHostList(w.hostList())
	w.publish()
	return w
}

// contract returns the contract of the i-th account; changes varies its request
// rate.
func contract(i, changes int) bbtfleet.Contract {
	return bbtfleet.NewContract(bbtfleet.AccountID(fmt.Sprintf("account-%05d", i)), bbtfleet.Tier(i%4+1),
		bbtfleet.WithRequests(bbtfleet.NewRate(float64(5+changes), 10)),
		bbtfleet.WithTokens(bbtfleet.NewRate(2000, 8000)),
		bbtfleet.WithDeadline(20*time.Second))
}

// publish publishes the zones, endpoints and contracts as the next revision.
func (w *world) publish() {
	w.revision++
	manifest, parts := w.encodedConfiguration(w.revision)
	w.platform.storeConfiguration(manifest, parts)
}

// encodedConfiguration returns the manifest and parts of the current zones,
// endpoints and contracts.
func (w *world) encodedConfiguration(r bbtfleet.Revision) ([]byte, []bbtconfig.Part) {
	return bbtconfig.Format(r, bbtfleet.NewConfiguration(bbtfleet.Version{},
		bbtfleet.WithZones(w.zones...),
		bbtfleet.WithEndpoints(w.endpoints...),
		bbtfleet.WithContracts(w.contracts...)))
}

// hostList returns the next revision of the platform's host list.
func (w *world) hostList() bbtfleet.HostList {
	var hosts []bbtfleet.Host
	for i, h := range w.hosts {
		if h.unlisted {
			continue
		}
		addr := fmt.Sprintf("10.0.%d.%d", i/250, i%250+1)
		hosts = append(hosts, bbtfleet.NewHost(h.id, h.zone,
			bbtfleet.WithPeerAddr(addr+":7000"), bbtfleet.WithCallerAddr(addr+":8080")))
	}
	return bbtfleet.NewHostList(w.platform.hosts.Revision()+1, hosts)
}

// schedule calls f after d.
func (w *world) schedule(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now.Add(d), seq: w.seq, fire: f})
}

// run advances the time by d and runs the events until then.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		ev := heap.Pop(&w.events).(event)
		w.now = ev.at
		ev.fire()
	}
	w.now = end
}

func (w *world) runningHosts() []*host {
	return slices.DeleteFunc(slices.Clone(w.hosts), func(h *host) bool { return !h.running })
}

// delay returns a random one-way latency between hosts.
func (w *world) delay() time.Duration {
	return latency + time.Duration(w.rng.Int64N(int64(latencyRange)))
}
