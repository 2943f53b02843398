package bbtdaemon

import (
	"context"
	"maps"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
)

// poller reads the load reports of an owned endpoint and, if it is a model
// engine, the contents of its prefix cache.
type poller struct {
	daemon         *Daemon
	endpoint       bbtfleet.Endpoint
	ctx            context.Context
	cancel         context.CancelFunc
	cachedPrefixes map[uint64]bool // the engine's cached prefixes at the last read
}

// updatePollers starts and stops pollers so that there is one for each owned
// endpoint.
func (d *Daemon) updatePollers(owned []bbtfleet.Endpoint) {
	wanted := make(map[bbtfleet.EndpointID]bool, len(owned))
	for _, ep := range owned {
		wanted[ep.ID()] = true
		if p := d.pollers[ep.ID()]; p != nil && p.endpoint == ep {
			continue
		}
		d.startPoller(ep)
	}
	for id, p := range d.pollers {
		if !wanted[id] {
			p.cancel()
			delete(d.pollers, id)
		}
	}
}

// startPoller starts a poller for the endpoint and stops its previous one.
func (d *Daemon) startPoller(ep bbtfleet.Endpoint) {
	if old := d.pollers[ep.ID()]; old != nil {
		old.cancel()
	}
	ctx, cancel := context.WithCancel(d.ctx)
	p := &poller{daemon: d, endpoint: ep, ctx: ctx, cancel: cancel}
	d.pollers[ep.ID()] = p
	d.wg.Go(p.run)
}

// run polls until the endpoint is no longer owned.
func (p *poller) run() {
	ticks := time.NewTicker(loadPollPeriod)
	defer ticks.Stop()
	for n := 0; ; n++ {
		p.readLoad()
		if n%loadReadsPerCacheRead == 0 && p.endpoint.Kind() == bbtfleet.ModelEngine {
			p.readCache()
		}
		select {
		case <-ticks.C:
		case <-p.ctx.Done():
			return
		}
	}
}

// readLoad reads and posts one load report. The report carries the time at
// which the read started.
func (p *poller) readLoad() {
	requestedAt := time.Now()
	load, err := p.daemon.loadReader.Read(p.ctx, p.endpoint)
	if err != nil {
		p.daemon.counters.Add("load-reads-failed", 1)
		return
	}
	p.daemon.post(loadReported{bbtgrant.LoadReport{
		Endpoint:    p.endpoint.ID(),
		Incarnation: load.Incarnation(),
		Running:     load.Running(),
		Queued:      load.Waiting(),
		Served:      load.Served(),
		MeasuredAt:  requestedAt,
	}})
}

// loadReadsPerCacheRead is the number of load reads for each read of an
// engine's prefix cache.
const loadReadsPerCacheRead = 10

// readCache posts the prefixes that were added to and evicted from the engine's
// cache since the last read.
func (p *poller) readCache() {
	prefixes, err := p.daemon.loadReader.ReadCachedPrefixes(p.ctx, p.endpoint)
	if err != nil {
		p.daemon.counters.Add("cache-reads-failed", 1)
		return
	}
	cachedPrefixes := make(map[uint64]bool, len(prefixes))
	var changes []bbtgrant.CacheEvent
	for _, prefix := range prefixes {
		cachedPrefixes[prefix] = true
		if !p.cachedPrefixes[prefix] {
			changes = append(changes, bbtgrant.CacheEvent{Endpoint: p.endpoint.ID(), Prefix: prefix})
		}
	}
	for _, prefix := range slices.Sorted(maps.Keys(p.cachedPrefixes)) {
		if !cachedPrefixes[prefix] {
			changes = append(changes, bbtgrant.CacheEvent{Endpoint: p.endpoint.ID(), Prefix: prefix, Evicted: true})
		}
	}
	p.cachedPrefixes = cachedPrefixes
	if len(changes) > 0 {
		p.daemon.post(prefixCacheChanged{changes})
	}
}

// prefixCacheChanged reports prefixes that were added to and evicted from an
// engine's cache.
type prefixCacheChanged struct{ changes []bbtgrant.CacheEvent }

func (ev prefixCacheChanged) apply(d *Daemon, now time.Time) {
	for _, c := range ev.changes {
		d.performOwnerActions(now, d.owner.UpdateCache(now, c))
	}
}
