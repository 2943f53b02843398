package bbtdaemon

import (
	"context"
	"maps"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
)

// poller reads the load reports of one owned endpoint.
type poller struct {
	daemon         *Daemon
	endpoint       bbtfleet.Endpoint
	ctx            context.Context
	cancel         context.CancelFunc
	cachedPrefixes map[uint64]bool // prefixes that the engine's cache held last
}

// updatePollers makes the pollers match the owned endpoints.
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

// startPoller replaces the endpoint's poller.
func (d *Daemon) startPoller(ep bbtfleet.Endpoint) {
	if old := d.pollers[ep.ID()]; old != nil {
		old.cancel()
	}
	ctx, cancel := context.WithCancel(d.ctx)
	p := &poller{daemon: d, endpoint: ep, ctx: ctx, cancel: cancel}
	d.pollers[ep.ID()] = p
	d.wg.Go(p.run)
}

// run reads reports until the endpoint is no longer owned.
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

// readLoad passes one report on.
func (p *poller) readLoad() {
	asked := time.Now()
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
		MeasuredAt:  asked,
	}})
}

// loadReadsPerCacheRead is the number of load reports for each look at an engine's cache.
const loadReadsPerCacheRead = 10

// readCache passes on what the engine's cache has taken up and evicted.
func (p *poller) readCache() {
	list, err := p.daemon.loadReader.ReadCachedPrefixes(p.ctx, p.endpoint)
	if err != nil {
		p.daemon.counters.Add("cache-reads-failed", 1)
		return
	}
	held := make(map[uint64]bool, len(list))
	var changes []bbtgrant.CacheEvent
	for _, prefix := range list {
		held[prefix] = true
		if !p.cachedPrefixes[prefix] {
			changes = append(changes, bbtgrant.CacheEvent{Endpoint: p.endpoint.ID(), Prefix: prefix})
		}
	}
	for _, prefix := range slices.Sorted(maps.Keys(p.cachedPrefixes)) {
		if !held[prefix] {
			changes = append(changes, bbtgrant.CacheEvent{Endpoint: p.endpoint.ID(), Prefix: prefix, Evicted: true})
		}
	}
	p.cachedPrefixes = held
	if len(changes) > 0 {
		p.daemon.post(prefixCacheChanged{changes})
	}
}

// prefixCacheChanged says what an engine's cache has taken up and evicted.
type prefixCacheChanged struct{ changes []bbtgrant.CacheEvent }

func (ev prefixCacheChanged) apply(d *Daemon, now time.Time) {
	for _, c := range ev.changes {
		d.performOwnerActions(now, d.owner.UpdateCache(now, c))
	}
}
