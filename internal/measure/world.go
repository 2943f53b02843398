package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtroute"
	"bluebelltray/core/bbtsuspect"
	"github.com/cespare/xxhash/v2"
)

const (
	confirmInterval = 500 * time.Millisecond // at which owners confirm their view
	reportInterval  = time.Second
	cacheEventLag   = 2 * time.Second
	cacheEventLoss  = 0.2             // fraction of events lost
	maxNotifyDelay  = 2 * time.Second // until a host learns of a topology change
	stallTimeout    = 4 * time.Second // from when a call is found on a frozen engine until it counts as lost, even if the engine has resumed
	resendDelay     = 200 * time.Millisecond
	frameOverhead   = 2 // bytes per message
)

// world is one simulation run: hosts, engines, network and callers.
type world struct {
	sim
	rng          *rand.Rand
	spec         scenario
	policy       policy
	hosts        []*host
	hostByID     map[bbtfleet.HostID]*host
	engines      []*engine
	engineByID   map[bbtfleet.EndpointID]*engine
	zoneOut      bbtfleet.ZoneID // zone out of service, if any
	ideal        *ideal          // nil under other policies
	score        *score
	traffic      *rand.Rand // for arrivals and requests, which are the same under all policies
	requestCount int
	attempts     int
	reportLag    time.Duration
	scoredFrom   time.Time // requests that arrive earlier are not scored
	scoredUntil  time.Time // requests that arrive later are not scored
}

func newWorld(spec scenario, p policy, seed uint64) *world {
	w := &world{
		sim:        sim{now: time.Unix(0, 0)},
		rng:        rand.New(rand.NewPCG(seed, 1)),
		spec:       spec,
		policy:     p,
		hostByID:   make(map[bbtfleet.HostID]*host),
		engineByID: make(map[bbtfleet.EndpointID]*engine),
		reportLag:  spec.reportLag,
	}
	w.score = newScore(w)
	for i := range spec.fleet.engines + spec.fleet.plainServices {
		e := &engine{w: w, record: spec.fleet.endpoint(i), gen: spec.fleet.generation(i), incarnation: 1, served: initialServed, slowdown: 1}
		w.engines = append(w.engines, e)
		w.engineByID[e.record.ID()] = e
	}
	for i := range spec.fleet.hosts {
		w.after(0, w.join(i).updateView)
	}
	w.every(reportInterval, w.sendLoadReports)
	w.every(confirmInterval, w.confirmViews)
	return w
}

// join adds the i-th host.
func (w *world) join(i int) *host {
	h := &host{
		w:            w,
		id:           bbtfleet.HostID(fmt.Sprintf("entry-%03d", i)),
		zone:         w.spec.fleet.zones[i%len(w.spec.fleet.zones)],
		believedDead: make(map[bbtfleet.HostID]bool),
		requests:     make(map[bbtgrant.RequestID]*request),
		calls:        make(map[bbtgrant.RequestID]*call),
	}
	h.tracker = bbtsuspect.NewTracker(&h.suspects)
	h.policy = w.policy.newPolicy(w, h)
	if w.policy.owners {
		h.owner = bbtgrant.New(bbtgrant.WithPermitIDBase(bbtgrant.PermitID(1 + w.now.UnixNano())))
	}
	w.hosts = append(w.hosts, h)
	w.hostByID[h.id] = h
	return h
}

// updateView recomputes the host's targets and owned endpoints from the hosts that
// it believes alive.
func (h *host) updateView() {
	if h.dead {
		return
	}
	w := h.w
	var targets []bbtroute.Target
	var owned []bbtfleet.Endpoint
	for _, e := range w.engines {
		if e.record.Zone() == w.zoneOut {
			continue
		}
		o := h.ownerOf(e.record)
		targets = append(targets, bbtroute.Target{Endpoint: e.record, Owner: o})
		if o == h.id {
			owned = append(owned, e.record)
		}
	}
	if h.owner != nil {
		h.applyOwnerActions(h.owner.SetEndpoints(w.now, owned))
	}
	h.applyEntryActions(h.policy.SetTargets(w.now, targets))
}

// ownerOf returns the host that owns the endpoint, by rendezvous hashing over
// the hosts believed alive.
func (h *host) ownerOf(ep bbtfleet.Endpoint) bbtfleet.HostID {
	key := string(ep.ID())
	if h.w.policy.onePerPool {
		key = string(ep.Pool())
	}
	var best bbtfleet.HostID
	var maxWeight uint64
	for _, x := range h.w.hosts {
		if h.believedDead[x.id] {
			continue
		}
		if weight := xxhash.Sum64String(key + "/" + string(x.id)); weight >= maxWeight {
			best, maxWeight = x.id, weight
		}
	}
	return best
}

// notifyHosts applies a change at every host after a random delay for each.
func (w *world) notifyHosts(f func(h *host)) {
	for _, h := range w.hosts {
		w.after(time.Duration(w.rng.Int64N(int64(maxNotifyDelay))), func() {
			if !h.dead {
				f(h)
				h.updateView()
			}
		})
	}
}

// markDead makes h consider the other host dead.
func (h *host) markDead(other *host) {
	h.believedDead[other.id] = true
	h.applyEntryActions(h.policy.HostLost(h.w.now, other.id))
	if h.owner != nil {
		h.applyOwnerActions(h.owner.EntryHostLost(h.w.now, other.id))
	}
}

// deliver delivers a message to a host unless that host is dead or a partition
// separates the two.
func (w *world) deliver(from *host, to bbtfleet.HostID, m bbtgrant.Message, f func(*host)) {
	peer := w.hostByID[to]
	w.score.sent(from, peer, m)
	w.after(w.spec.fleet.latency(from.zone, peer.zone, w.rng), func() {
		if !peer.dead && from.partitionSide == peer.partitionSide {
			f(peer)
		}
	})
}

// engineLatency returns the one-way latency between a host and an engine.
func (w *world) engineLatency(h *host, e *engine) time.Duration {
	return w.spec.fleet.latency(h.zone, e.record.Zone(), w.rng)
}

func (w *world) firstToken(c *call) {
	w.after(w.engineLatency(c.host, c.engine), func() {
		if c.host.dead || c.host.calls[c.id] != c {
			return
		}
		c.firstTokenAt = w.now
		w.score.firstToken(c, w.now)
		c.host.applyEntryActions(c.host.policy.FirstToken(w.now, c.id))
	})
}

func (w *world) callEnded(c *call, o bbtgrant.Outcome) {
	w.after(w.engineLatency(c.host, c.engine), func() { c.host.finished(c, o) })
}

// sendLoadReports sends the engines' load reports to all hosts.
func (w *world) sendLoadReports() {
	for _, e := range w.engines {
		if e.dead || e.frozen {
			continue
		}
		r := e.loadReport()
		w.after(w.reportLag, func() {
			for _, h := range w.hosts {
				h.receiveLoadReport(r)
			}
		})
	}
}

func (h *host) receiveLoadReport(r bbtgrant.LoadReport) {
	if h.dead {
		return
	}
	if p, ok := h.policy.(loadReportReceiver); ok {
		h.applyEntryActions(p.UpdateLoad(h.w.now, r))
	}
	if h.owner != nil && h.owner.Owns(r.Endpoint) {
		h.applyOwnerActions(h.owner.UpdateLoad(h.w.now, r))
	}
}

// cacheEvent sends a cache event to the endpoint's owner, with delay and loss.
func (w *world) cacheEvent(c bbtgrant.CacheEvent) {
	if w.rng.Float64() < cacheEventLoss {
		return
	}
	w.after(cacheEventLag, func() {
		for _, h := range w.hosts {
			if !h.dead && h.owner != nil && h.owner.Owns(c.Endpoint) {
				h.applyOwnerActions(h.owner.UpdateCache(w.now, c))
			}
		}
	})
}

func (w *world) confirmViews() {
	for _, h := range w.hosts {
		if !h.dead && h.owner != nil {
			h.applyOwnerActions(h.owner.ConfirmView(w.now))
		}
	}
}

// submitToRandomHost submits a request to a random live host.
func (w *world) submitToRandomHost(r *request) {
	live := slices.DeleteFunc(slices.Clone(w.hosts), func(h *host) bool { return h.dead })
	live[w.rng.IntN(len(live))].submit(r)
}

// resend submits the request again after resendDelay unless its deadline has
// passed.
func (w *world) resend(r *request) {
	w.after(resendDelay, func() {
		if w.now.Before(r.deadline) {
			w.submitToRandomHost(r)
		}
	})
}

// reportCrash informs all hosts of the requests that were in flight when an engine
// crashed.
func (w *world) reportCrash(h *host, c bbtsuspect.Crash) {
	for _, notice := range h.tracker.Crashed(w.now, c) {
		for _, peer := range w.hosts {
			w.deliver(h, peer.id, nil, func(peer *host) { peer.suspects.Merge(w.now, notice) })
		}
	}
}

// kill ends a host's process. Callers resend the requests that may be repeated.
func (w *world) kill(h *host) {
	h.dead = true
	ids := make([]bbtgrant.RequestID, 0, len(h.requests))
	for id := range h.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if c := h.calls[id]; c != nil {
			c.engine.cancel(c)
			w.score.callEnded(c, bbtgrant.Lost, w.now)
		}
		if r := h.requests[id]; r.maxRepeats > 0 {
			w.resend(r)
		}
	}
	w.notifyHosts(func(x *host) { x.markDead(h) })
}

// split partitions the network between the hosts of the first half of the zones
// and the others; both sides keep running.
func (w *world) split() {
	for _, h := range w.hosts {
		h.partitionSide = cmp.Compare(slices.Index(w.spec.fleet.zones, h.zone), len(w.spec.fleet.zones)/2-1)
		h.partitionSide = max(0, h.partitionSide)
	}
	w.notifyHosts(func(h *host) {
		for _, x := range w.hosts {
			if x.partitionSide != h.partitionSide {
				h.markDead(x)
			}
		}
	})
}

// heal ends the partition.
func (w *world) heal() {
	for _, h := range w.hosts {
		h.partitionSide = 0
	}
	w.notifyHosts(func(h *host) { clear(h.believedDead) })
}
