package bbtdaemon

import (
	"time"

	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbthome"
	"bluebelltray/core/bbtview"
)

// platformReader performs one read of the platform.
type platformReader struct {
	daemon *Daemon
	action bbtview.Action
}

// startRead starts a read of the platform.
func (d *Daemon) startRead(a bbtview.Action) {
	d.counters.Add("platform-reads", 1)
	r := &platformReader{daemon: d, action: a}
	d.wg.Go(r.run)
}

// run performs the read and posts the result.
func (r *platformReader) run() {
	ctx, p := r.daemon.ctx, r.daemon.platform
	requestedAt := time.Now()
	switch a := r.action.(type) {
	case bbtview.ReadManifest:
		v, err := p.Read(ctx, bbtview.ManifestKey)
		r.daemon.post(manifestRead{requestedAt: requestedAt, value: v, err: err})
	case bbtview.WatchManifest:
		v, err := p.Watch(ctx, bbtview.ManifestKey, a.After)
		r.daemon.post(manifestRead{requestedAt: time.Now(), value: v, err: err, watch: true})
	case bbtview.ReadPart:
		v, err := p.Read(ctx, a.Key)
		r.daemon.post(partRead{key: a.Key, value: v, err: err})
	case bbtview.ReadHostList:
		l, err := p.Hosts(ctx)
		r.daemon.post(hostsRead{requestedAt: requestedAt, hosts: l, err: err})
	}
}

// manifestRead is the result of a read or watch of the manifest.
type manifestRead struct {
	requestedAt time.Time // when the read was sent; for a watch, when it returned, which the view ignores
	value       bbtfleet.Value
	err         error
	watch       bool
}

// partRead is the result of a read of a part.
type partRead struct {
	key   string
	value bbtfleet.Value
	err   error
}

// hostsRead is the result of a read of the host list.
type hostsRead struct {
	requestedAt time.Time
	hosts       bbtfleet.HostList
	err         error
}

func (ev manifestRead) apply(d *Daemon, now time.Time) {
	switch {
	case ev.err == nil:
		d.performViewActions(now, d.view.ManifestRead(now, ev.requestedAt, ev.value, ev.watch))
	case ev.watch:
		d.performViewActions(now, d.view.WatchFailed(now))
	default:
		d.counters.Add("platform-reads-failed", 1)
		d.performViewActions(now, d.view.ReadFailed(now, bbtview.ManifestKey))
	}
}

func (ev partRead) apply(d *Daemon, now time.Time) {
	if ev.err != nil {
		d.counters.Add("platform-reads-failed", 1)
		d.performViewActions(now, d.view.ReadFailed(now, ev.key))
		return
	}
	d.performViewActions(now, d.view.PartRead(now, ev.key, ev.value))
}

func (ev hostsRead) apply(d *Daemon, now time.Time) {
	if ev.err != nil {
		d.counters.Add("platform-reads-failed", 1)
		d.performViewActions(now, d.view.HostListReadFailed(now))
		return
	}
	d.performViewActions(now, d.view.HostListRead(now, ev.hosts))
	d.stepExecutor(now, bbtexec.ViewConfirmed{RequestedAt: ev.requestedAt, View: bbthome.NewView(ev.hosts)})
}
