package main

import (
	"time"

	"bluebelltray/core/bbtconfig"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtview"
)

const (
	platformLatency = 3 * time.Millisecond // one way to the platform
	failureDelay    = time.Second          // after which a read of an unreachable service fails
	watchTimeout    = 30 * time.Second     // after which a watch ends without a new value
)

// platform simulates the configuration service and the host list. It counts each
// call; a watch counts as one however long it waits.
type platform struct {
	world         *world
	state         published
	backup        published // the previous publication, returned while servingBackup
	servingBackup bool
	down          bool
	hosts         bbtfleet.HostList
	watches       []*watch
}

// published holds the values of the configuration service.
type published struct {
	manifest bbtfleet.Value
	parts    map[string]bbtfleet.Value
}

// watch is a pending watch of the manifest by one process of a host.
type watch struct {
	host               *host
	processIncarnation int
	after              bbtfleet.Revision
}

// storeConfiguration stores a configuration and answers pending watches.
func (p *platform) storeConfiguration(manifest []byte, parts []bbtconfig.Part) {
	p.backup = p.state
	r := p.state.manifest.Revision() + 1
	p.state = published{manifest: bbtfleet.NewValue(r, manifest), parts: make(map[string]bbtfleet.Value)}
	for _, part := range parts {
		p.state.parts[part.Key()] = bbtfleet.NewValue(r, part.Data())
	}
	p.notify()
}

func (p *platform) storeHostList(l bbtfleet.HostList) { p.hosts = l }

// current returns the values that reads return.
func (p *platform) current() published {
	if p.servingBackup {
		return p.backup
	}
	return p.state
}

// notify answers the watches for which a newer value exists.
func (p *platform) notify() {
	if p.down {
		return
	}
	var waiting []*watch
	for _, w := range p.watches {
		if p.current().manifest.Revision() <= w.after {
			waiting = append(waiting, w)
			continue
		}
		p.reply(w.host, w.processIncarnation, func(h *host, now time.Time) {
			h.applyViewActions(now, h.view.ManifestRead(now, now, p.current().manifest, true))
		})
	}
	p.watches = waiting
}

// reachable reports whether the host can reach the platform.
func (p *platform) reachable(h *host) bool { return !p.down && !p.world.blocked(h.id, "") }

// call counts a call of the host and completes it with ok, or with fail if the
// platform is unreachable.
func (p *platform) call(h *host, ok, fail func(h *host, now time.Time)) {
	p.world.stats.countCall(p.world.now)
	incarnation := h.incarnation
	if !p.reachable(h) {
		p.world.schedule(failureDelay, func() { h.receive(incarnation, func(now time.Time) { fail(h, now) }) })
		return
	}
	p.world.schedule(platformLatency, func() { p.reply(h, incarnation, ok) })
}

// reply delivers an answer to the process with the given incarnation.
func (p *platform) reply(h *host, incarnation int, f func(h *host, now time.Time)) {
	p.world.schedule(platformLatency, func() { h.receive(incarnation, func(now time.Time) { f(h, now) }) })
}

func (p *platform) readManifest(h *host) {
	requestedAt := p.world.now
	p.call(h, func(h *host, now time.Time) {
		v := p.current().manifest
		h.countReceived(len(v.Data()))
		h.applyViewActions(now, h.view.ManifestRead(now, requestedAt, v, false))
	}, func(h *host, now time.Time) {
		h.applyViewActions(now, h.view.ReadFailed(now, bbtview.ManifestKey))
	})
}

func (p *platform) readPart(h *host, key string) {
	p.call(h, func(h *host, now time.Time) {
		v, ok := p.current().parts[key]
		if !ok {
			h.applyViewActions(now, h.view.ReadFailed(now, key))
			return
		}
		h.countReceived(len(v.Data()))
		h.applyViewActions(now, h.view.PartRead(now, key, v))
	}, func(h *host, now time.Time) {
		h.applyViewActions(now, h.view.ReadFailed(now, key))
	})
}

func (p *platform) readHostList(h *host) {
	p.call(h, func(h *host, now time.Time) {
		h.countReceived(listSize(p.hosts))
		h.applyViewActions(now, h.view.HostListRead(now, p.hosts))
	}, func(h *host, now time.Time) {
		h.applyViewActions(now, h.view.HostListReadFailed(now))
	})
}

// watch starts a watch for a manifest newer than revision after.
func (p *platform) watch(h *host, after bbtfleet.Revision) {
	p.world.stats.countCall(p.world.now)
	w := &watch{host: h, processIncarnation: h.incarnation, after: after}
	p.watches = append(p.watches, w)
	p.world.schedule(watchTimeout, func() { p.expireWatch(w) })
	p.notify()
}

// expireWatch ends a watch that is still waiting after watchTimeout.
func (p *platform) expireWatch(w *watch) {
	for i := range p.watches {
		if p.watches[i] == w {
			p.watches = append(p.watches[:i], p.watches[i+1:]...)
			w.host.receive(w.processIncarnation, func(now time.Time) { w.host.applyViewActions(now, w.host.view.WatchFailed(now)) })
			return
		}
	}
}

// listSize returns the size in bytes of a host list as text, without transport
// overhead.
func listSize(l bbtfleet.HostList) int {
	n := 0
	for _, h := range l.Hosts() {
		n += len(h.ID()) + len(h.Zone()) + len(h.PeerAddr()) + len(h.CallerAddr()) + len(h.State().String())
	}
	return n
}
