package bbtdaemon

import (
	"context"
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
	for {
		p.read()
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
		At:          asked,
	}})
}
