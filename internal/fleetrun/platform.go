package main

import (
	"time"

	"bluebelltray/core/bbtconfig"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtview"
)

const (
	readTime   = 3 * time.Millisecond // one way to the platform
	failTime   = time.Second          // after which a read of a dead service fails
	watchLimit = 30 * time.Second     // after which a watch ends without a value
)

// platform is the configuration service and the host list. It counts each call,
// a waiting watch as one.
type platform struct {
	world    *world
	state    published
	backup   published // what a restored service holds
	restored bool
	down     bool
	hosts    bbtfleet.HostList
	watches  []*watch
}

// published is the values that the service holds.
type published struct {
	manifest bbtfleet.Value
	parts    map[string]bbtfleet.Value
}

// watch is a waiting watch of the manifest.
type watch struct {
	host  *host
	run   int
	after bbtfleet.Revision
}

// put publishes a configuration.
func (p *platform) put(manifest []byte, parts []bbtconfig.Part) {
	p.backup = p.state
	r := p.state.manifest.Revision() + 1
	p.state = published{manifest: bbtfleet.NewValue(r, manifest), parts: make(map[string]bbtfleet.Value)}
	for _, part := range parts {
		p.state.parts[part.Key()] = bbtfleet.NewValue(r, part.Data())
	}
	p.notify()
}

// list publishes a host list.
func (p *platform) list(l bbtfleet.HostList) { p.hosts = l }

// current returns the values that readers see.
func (p *platform) current() published {
	if p.restored {
		return p.backup
	}
	return p.state
}

// notify answers the watches whose value is there.
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
		p.reply(w.host, w.run, func(h *host, now time.Time) {
			h.doView(now, h.keeper.ManifestRead(now, now, p.current().manifest, true))
		})
	}
	p.watches = waiting
}

// reachable reports whether a call of the host is answered.
func (p *platform) reachable(h *host) bool { return !p.down && !p.world.severed(h.id, "") }

// call answers a call of the host, by fail if the platform can't be reached.
func (p *platform) call(h *host, ok, fail func(h *host, now time.Time)) {
	p.world.stats.read(p.world.now)
	run := h.incarnation
	if !p.reachable(h) {
		p.world.at(failTime, func() { h.receive(run, func(now time.Time) { fail(h, now) }) })
		return
	}
	p.world.at(readTime, func() { p.reply(h, run, ok) })
}

// reply delivers an answer to the process that asked.
func (p *platform) reply(h *host, run int, f func(h *host, now time.Time)) {
	p.world.at(readTime, func() { h.receive(run, func(now time.Time) { f(h, now) }) })
}

// readManifest answers a read of the manifest.
func (p *platform) readManifest(h *host) {
	asked := p.world.now
	p.call(h, func(h *host, now time.Time) {
		v := p.current().manifest
		h.took(len(v.Data()))
		h.doView(now, h.keeper.ManifestRead(now, asked, v, false))
	}, func(h *host, now time.Time) {
		h.doView(now, h.keeper.ReadFailed(now, bbtview.ManifestKey))
	})
}

// readPart answers a read of a part.
func (p *platform) readPart(h *host, key string) {
	p.call(h, func(h *host, now time.Time) {
		v, ok := p.current().parts[key]
		if !ok {
			h.doView(now, h.keeper.ReadFailed(now, key))
			return
		}
		h.took(len(v.Data()))
		h.doView(now, h.keeper.PartRead(now, key, v))
	}, func(h *host, now time.Time) {
		h.doView(now, h.keeper.ReadFailed(now, key))
	})
}

// readHosts answers a read of the host list.
func (p *platform) readHosts(h *host) {
	p.call(h, func(h *host, now time.Time) {
		h.took(listSize(p.hosts))
		h.doView(now, h.keeper.HostListRead(now, p.hosts))
	}, func(h *host, now time.Time) {
		h.doView(now, h.keeper.HostListReadFailed(now))
	})
}

// watch answers a watch of the manifest.
func (p *platform) watch(h *host, after bbtfleet.Revision) {
	p.world.stats.read(p.world.now)
	w := &watch{host: h, run: h.incarnation, after: after}
	p.watches = append(p.watches, w)
	p.world.at(watchLimit, func() { p.end(w) })
	p.notify()
}

// end ends a watch that has waited too long.
func (p *platform) end(w *watch) {
	for i := range p.watches {
		if p.watches[i] == w {
			p.watches = append(p.watches[:i], p.watches[i+1:]...)
			w.host.receive(w.run, func(now time.Time) { w.host.doView(now, w.host.keeper.WatchFailed(now)) })
			return
		}
	}
}

// listSize returns the size in bytes of a host list as text, without what the
// transport adds.
func listSize(l bbtfleet.HostList) int {
	n := 0
	for _, h := range l.Hosts() {
		n += len(h.ID()) + len(h.Zone()) + len(h.PeerAddr()) + len(h.CallerAddr()) + len(h.State().String())
	}
	return n
}
