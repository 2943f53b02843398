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
	confirmEvery = 500 * time.Millisecond
	reportEvery  = time.Second
	cacheLag     = 2 * time.Second // of cache events
	cacheLoss    = 0.2             // of cache events
	learnWithin  = 2 * time.Second // until a host learns of a change
	silentFor    = 4 * time.Second // without progress, until a call counts as lost
	resendAfter  = 200 * time.Millisecond
	messageFrame = 2 // bytes of framing, each message
)

// world is one run: hosts, engines, network and callers.
type world struct {
	sim
	rng        *rand.Rand
	spec       scenario
	policy     policy
	hosts      []*host
	hostByID   map[bbtfleet.HostID]*host
	engines    []*engine
	byID       map[bbtfleet.EndpointID]*engine
	out        bbtfleet.ZoneID // zone taken out
	ideal      *ideal          // nil under other policies
	score      *score
	traffic    *rand.Rand
	drawn      int
	attempts   int
	lag        time.Duration
	scoredFrom time.Time // requests that arrive earlier do not count
	scored     time.Time // nor those that arrive later
}

func newWorld(spec scenario, p policy, seed uint64) *world {
	w := &world{
		sim:      sim{now: time.Unix(0, 0)},
		rng:      rand.New(rand.NewPCG(seed, 1)),
		spec:     spec,
		policy:   p,
		hostByID: make(map[bbtfleet.HostID]*host),
		byID:     make(map[bbtfleet.EndpointID]*engine),
		lag:      spec.lag,
	}
	w.score = newScore(w)
	for i := range spec.fleet.engines + spec.fleet.plain {
		e := &engine{w: w, record: spec.fleet.endpoint(i), gen: spec.fleet.generation(i), incarnation: 1, served: servedLong, slow: 1}
		w.engines = append(w.engines, e)
		w.byID[e.record.ID()] = e
	}
	for i := range spec.fleet.hosts {
		w.after(0, w.join(i).look)
	}
	w.every(reportEvery, w.reports)
	w.every(confirmEvery, w.confirm)
	return w
}

// join starts the i-th host.
func (w *world) join(i int) *host {
	h := &host{
		w:        w,
		id:       bbtfleet.HostID(fmt.Sprintf("entry-%03d", i)),
		zone:     w.spec.fleet.zones[i%len(w.spec.fleet.zones)],
		distrust: make(map[bbtfleet.HostID]bool),
		requests: make(map[bbtgrant.RequestID]*request),
		calls:    make(map[bbtgrant.RequestID]*call),
	}
	h.tracker = bbtsuspect.NewTracker(&h.suspicions)
	h.policy = w.policy.entry(w, h)
	if w.policy.owners {
		h.owner = bbtgrant.New(bbtgrant.WithPermitIDBase(bbtgrant.PermitID(1 + w.now.UnixNano())))
	}
	w.hosts = append(w.hosts, h)
	w.hostByID[h.id] = h
	return h
}

// look computes the view of a host from what it believes.
func (h *host) look() {
	if h.dead {
		return
	}
	w := h.w
	var targets []bbtroute.Target
	var owned []bbtfleet.Endpoint
	for _, e := range w.engines {
		if e.record.Zone() == w.out {
			continue
		}
		o := h.ownerOf(e.record)
		targets = append(targets, bbtroute.Target{Endpoint: e.record, Owner: o})
		if o == h.id {
			owned = append(owned, e.record)
		}
	}
	if h.owner != nil {
		h.grants(h.owner.SetEndpoints(w.now, owned))
	}
	h.entry(h.policy.View(w.now, targets))
}

// ownerOf returns the host that owns the endpoint, by rendezvous hashing over
// the hosts believed alive.
func (h *host) ownerOf(ep bbtfleet.Endpoint) bbtfleet.HostID {
	key := string(ep.ID())
	if h.w.policy.onePerPool {
		key = string(ep.Pool())
	}
	var best bbtfleet.HostID
	var most uint64
	for _, x := range h.w.hosts {
		if h.distrust[x.id] {
			continue
		}
		if v := xxhash.Sum64String(key + "/" + string(x.id)); v >= most {
			best, most = x.id, v
		}
	}
	return best
}

// learn lets every host hear of a change at a time of its own.
func (w *world) learn(f func(h *host)) {
	for _, h := range w.hosts {
		w.after(time.Duration(w.rng.Int64N(int64(learnWithin))), func() {
			if !h.dead {
				f(h)
				h.look()
			}
		})
	}
}

// lose makes h believe that the other host died.
func (h *host) lose(other *host) {
	h.distrust[other.id] = true
	h.entry(h.policy.HostLost(h.w.now, other.id))
	if h.owner != nil {
		h.grants(h.owner.EntryHostLost(h.w.now, other.id))
	}
}

// carry brings a message to a host unless the network is cut.
func (w *world) carry(from *host, to bbtfleet.HostID, m bbtgrant.Message, f func(*host)) {
	peer := w.hostByID[to]
	w.score.sent(from, peer, m)
	w.after(w.spec.fleet.latency(from.zone, peer.zone, w.rng), func() {
		if !peer.dead && from.side == peer.side {
			f(peer)
		}
	})
}

func (w *world) toEngine(h *host, e *engine) time.Duration {
	return w.spec.fleet.latency(h.zone, e.record.Zone(), w.rng)
}

func (w *world) firstToken(c *call) {
	w.after(w.toEngine(c.host, c.engine), func() {
		if c.host.dead || c.host.calls[c.id] != c {
			return
		}
		c.first = w.now
		w.score.firstToken(c, w.now)
		c.host.entry(c.host.policy.FirstToken(w.now, c.id))
	})
}

func (w *world) ended(c *call, o bbtgrant.Outcome) {
	w.after(w.toEngine(c.host, c.engine), func() { c.host.finished(c, o) })
}

// reports sends the engines' load reports to those that read them.
func (w *world) reports() {
	for _, e := range w.engines {
		if e.dead || e.frozen {
			continue
		}
		r := e.report()
		w.after(w.lag, func() {
			for _, h := range w.hosts {
				h.hear(r)
			}
		})
	}
}

func (h *host) hear(r bbtgrant.LoadReport) {
	if h.dead {
		return
	}
	if p, ok := h.policy.(loadReader); ok {
		h.entry(p.UpdateLoad(h.w.now, r))
	}
	if h.owner != nil && h.owner.Owns(r.Endpoint) {
		h.grants(h.owner.UpdateLoad(h.w.now, r))
	}
}

// cacheEvent tells the endpoint's owner of a prefix, late and not always.
func (w *world) cacheEvent(c bbtgrant.CacheEvent) {
	if w.rng.Float64() < cacheLoss {
		return
	}
	w.after(cacheLag, func() {
		for _, h := range w.hosts {
			if !h.dead && h.owner != nil && h.owner.Owns(c.Endpoint) {
				h.grants(h.owner.UpdateCache(w.now, c))
			}
		}
	})
}

func (w *world) confirm() {
	for _, h := range w.hosts {
		if !h.dead && h.owner != nil {
			h.grants(h.owner.ConfirmView(w.now))
		}
	}
}

// arrive lets a caller send a request to a host of its choice.
func (w *world) arrive(r *request) {
	live := slices.DeleteFunc(slices.Clone(w.hosts), func(h *host) bool { return h.dead })
	live[w.rng.IntN(len(live))].submit(r)
}

// resend lets the caller send the request again through another host.
func (w *world) resend(r *request) {
	w.after(resendAfter, func() {
		if w.now.Before(r.deadline) {
			w.arrive(r)
		}
	})
}

// suspect lets all hosts know which requests were in flight when an engine
// died.
func (w *world) suspect(h *host, c bbtsuspect.Crash) {
	for _, n := range h.tracker.Crashed(w.now, c) {
		for _, peer := range w.hosts {
			w.carry(h, peer.id, nil, func(peer *host) { peer.suspicions.Merge(w.now, n) })
		}
	}
}

// kill ends a host's process. Callers resend what may be repeated.
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
			w.score.ended(c, bbtgrant.Lost, w.now)
		}
		if r := h.requests[id]; r.repeats > 0 {
			w.resend(r)
		}
	}
	w.learn(func(x *host) { x.lose(h) })
}

// split cuts the network between the hosts of the first half of the zones and
// the others; both sides go on.
func (w *world) split() {
	for _, h := range w.hosts {
		h.side = cmp.Compare(slices.Index(w.spec.fleet.zones, h.zone), len(w.spec.fleet.zones)/2-1)
		h.side = max(0, h.side)
	}
	w.learn(func(h *host) {
		for _, x := range w.hosts {
			if x.side != h.side {
				h.lose(x)
			}
		}
	})
}

// heal joins the network again.
func (w *world) heal() {
	for _, h := range w.hosts {
		h.side = 0
	}
	w.learn(func(h *host) { clear(h.distrust) })
}
