package bbtdaemon

import (
	"time"

	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbthome"
	"bluebelltray/core/bbtview"
)

// reader carries out one read of the platform.
type reader struct {
	daemon *Daemon
	action bbtview.Action
}

// read starts a read of the platform.
func (d *Daemon) read(a bbtview.Action) {
	d.counters.Add("platform-reads", 1)
	r := &reader{daemon: d, action: a}
	d.done.Go(r.run)
}

// run reads and posts what came of it.
func (r *reader) run() {
	ctx, p := r.daemon.ctx, r.daemon.platform
	asked := time.Now()
	switch a := r.action.(type) {
	case bbtview.ReadManifest:
		v, err := p.Read(ctx, bbtview.ManifestKey)
		r.daemon.post(manifestRead{asked: asked, value: v, err: err})
	case bbtview.WatchManifest:
		v, err := p.Watch(ctx, bbtview.ManifestKey, a.After)
		r.daemon.post(manifestRead{asked: time.Now(), value: v, err: err, watch: true})
	case bbtview.ReadPart:
		v, err := p.Read(ctx, a.Key)
		r.daemon.post(partRead{key: a.Key, value: v, err: err})
	case bbtview.ReadHostList:
		l, err := p.Hosts(ctx)
		r.daemon.post(hostsRead{asked: asked, hosts: l, err: err})
	}
}

// manifestRead is the result of a read or watch of the manifest.
type manifestRead struct {
	asked time.Time
	value bbtfleet.Value
	err   error
	watch bool
}

// partRead is the result of a read of a part.
type partRead struct {
	key   string
	value bbtfleet.Value
	err   error
}

// hostsRead is the result of a read of the host list.
type hostsRead struct {
	asked time.Time
	hosts bbtfleet.HostList
	err   error
}

func (ev manifestRead) apply(d *Daemon, now time.Time) {
	switch {
	case ev.err == nil:
		d.doView(now, d.keeper.ManifestRead(now, ev.asked, ev.value, ev.watch))
	case ev.watch:
		d.doView(now, d.keeper.WatchFailed(now))
	default:
		d.counters.Add("platform-reads-failed", 1)
		d.doView(now, d.keeper.ReadFailed(now, bbtview.ManifestKey))
	}
}

func (ev partRead) apply(d *Daemon, now time.Time) {
	if ev.err != nil {
		d.counters.Add("platform-reads-failed", 1)
		d.doView(now, d.keeper.ReadFailed(now, ev.key))
		return
	}
	d.doView(now, d.keeper.PartRead(now, ev.key, ev.value))
}

func (ev hostsRead) apply(d *Daemon, now time.Time) {
	if ev.err != nil {
		d.counters.Add("platform-reads-failed", 1)
		d.doView(now, d.keeper.HostListReadFailed(now))
		return
	}
	d.doView(now, d.keeper.HostListRead(now, ev.hosts))
	d.step(now, bbtexec.ViewConfirmed{RequestedAt: ev.asked, View: bbthome.NewView(ev.hosts)})
}
