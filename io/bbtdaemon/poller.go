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
	daemon   *Daemon
	endpoint bbtfleet.Endpoint
	ctx      context.Context
	cancel   context.CancelFunc
	held     map[uint64]bool // prefixes that the engine's cache held last
}

// poll makes the pollers match the owned endpoints.
func (d *Daemon) poll(owned []bbtfleet.Endpoint) {
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
	d.done.Go(p.run)
}

// run reads reports until the endpoint is no longer owned.
func (p *poller) run() {
	ticks := time.NewTicker(loadPeriod)
	defer ticks.Stop()
	for n := 0; ; n++ {
		p.read()
		if n%cacheRate == 0 && p.endpoint.Kind() == bbtfleet.ModelEngine {
			p.readCache()
		}
		select {
		case <-ticks.C:
		case <-p.ctx.Done():
			return
		}
	}
}

// read passes one report on.
func (p *poller) read() {
	asked := time.Now()
	load, err := p.daemon.loads.Read(p.ctx, p.endpoint)
	if err != nil {
		p.daemon.counters.Add("load-reads-failed", 1)
		return
	}
	p.daemon.post(reported{bbtgrant.LoadReport{
		Endpoint:    p.endpoint.ID(),
		Incarnation: load.Incarnation(),
		Running:     load.Running(),
		Queued:      load.Waiting(),
		Served:      load.Served(),
		MeasuredAt:  asked,
	}})
}

// cacheRate is the number of load reports for each look at an engine's cache.
const cacheRate = 10

// readCache passes on what the engine's cache has taken up and evicted.
func (p *poller) readCache() {
	list, err := p.daemon.loads.ReadCachedPrefixes(p.ctx, p.endpoint)
	if err != nil {
		p.daemon.counters.Add("cache-reads-failed", 1)
		return
	}
	held := make(map[uint64]bool, len(list))
	var changes []bbtgrant.CacheEvent
	for _, prefix := range list {
		held[prefix] = true
		if !p.held[prefix] {
			changes = append(changes, bbtgrant.CacheEvent{Endpoint: p.endpoint.ID(), Prefix: prefix})
		}
	}
	for _, prefix := range slices.Sorted(maps.Keys(p.held)) {
		if !held[prefix] {
			changes = append(changes, bbtgrant.CacheEvent{Endpoint: p.endpoint.ID(), Prefix: prefix, Evicted: true})
		}
	}
	p.held = held
	if len(changes) > 0 {
		p.daemon.post(cached{changes})
	}
}

// cached says what an engine's cache has taken up and evicted.
type cached struct{ changes []bbtgrant.CacheEvent }

func (ev cached) apply(d *Daemon, now time.Time) {
	for _, c := range ev.changes {
		d.doOwner(now, d.owner.UpdateCache(now, c))
	}
}
