package bbtedge

import (
	"time"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtview"
	"go.uber.org/zap"
)

const (
	// askEvery is the least time between questions to peers for changes.
	askEvery = 150 * time.Millisecond
)

// digest returns what peers are told of this host's view.
func (e *Edge) digest(now time.Time) bbtview.Digest {
	d := bbtview.Digest{Revision: uint64(e.index.Load().Version()), Hosts: e.keeper.Revision(), Age: bbtview.AgeUnknown}
	if at := e.confirmed(); !at.IsZero() {
		d.Age = uint32(min(now.Sub(at).Milliseconds(), int64(bbtview.AgeUnknown-1)))
	}
	return d
}

// confirmed returns when the platform answered last, this host or one from which
// it learns; zero if none is known.
func (e *Edge) confirmed() time.Time {
	at := e.reader.confirmed()
	for _, h := range e.hosts {
		if seen := e.fresh[h.ID()]; seen.After(at) && e.up(h.ID()) {
			at = seen
		}
	}
	return at
}

// compare asks a peer that knows more than this host for what it lacks.
func (e *Edge) compare(now time.Time, from bbtfleet.HostID, d bbtview.Digest) {
	if d.Age != bbtview.AgeUnknown {
		at := now.Add(-time.Duration(d.Age) * time.Millisecond)
		if at.After(e.fresh[from]) {
			e.fresh[from] = at
		}
	}
	if d.Hosts <= e.keeper.Revision() || now.Sub(e.asked) < askEvery {
		return
	}
	e.asked = now
	e.tell(from, UpdateRequest{e.keeper.Revision()})
}

// take puts published changes in force.
func (e *Edge) take(now time.Time, u bbtcatalog.Update, from string) {
	before, version := e.keeper.Revision(), e.index.Load().Version()
	changed := e.keeper.Apply(now, u)
	e.reader.advance(e.keeper.Revision(), from != "platform")
	if !changed {
		return
	}
	e.publish(now)
	for _, c := range u.Changes {
		e.logChange(c, before, from)
	}
	if v := e.index.Load().Version(); v != version {
		e.counters.Set("configuration-version", v)
		e.log.Info("configuration in force", zap.Int64("version", v), zap.Int64("before", version), zap.String("from", from))
	}
}

// logChange logs a change of an endpoint or an availability zone.
func (e *Edge) logChange(c bbtcatalog.Change, before uint64, from string) {
	if c.Revision <= before {
		return
	}
	switch {
	case c.Endpoint != nil:
		e.log.Info("endpoint changed", zap.String("endpoint", c.Endpoint.ID), zap.Bool("gone", c.Removed),
			zap.Bool("draining", c.Endpoint.Draining), zap.Duration("cold-left", c.Endpoint.ColdRemaining),
			zap.Uint64("revision", c.Revision), zap.String("from", from))
	case c.Zone != nil:
		e.log.Info("availability zone changed", zap.String("zone", *c.Zone), zap.Bool("out", !c.Removed),
			zap.Uint64("revision", c.Revision), zap.String("from", from))
	}
}

// publish gives the catalog in force to the roles.
func (e *Edge) publish(now time.Time) {
	e.catalogAt = now
	ix := e.keeper.Index()
	e.index.Store(ix)
	e.ready.Store(ix.Config() != nil)
	e.doScheduler(e.scheduler.SetCatalog(now, ix, e.keeper.Endpoints(now)))
}
