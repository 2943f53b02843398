package bbtedge

import (
	"time"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtview"
	"go.uber.org/zap"
)

const (
	// minUpdateRequestInterval is the least time between requests to peers for
	// changes.
	minUpdateRequestInterval = 150 * time.Millisecond
)

// digest returns the digest of this host's view that peers are sent. Its field
// Hosts holds the revision of the catalog.
func (e *Edge) digest(now time.Time) bbtview.Digest {
	d := bbtview.Digest{Revision: uint64(e.index.Load().Version()), Hosts: e.catalog.Revision(), Age: bbtview.AgeUnknown}
	if at := e.confirmedAt(); !at.IsZero() {
		d.Age = uint32(min(now.Sub(at).Milliseconds(), int64(bbtview.AgeUnknown-1)))
	}
	return d
}

// confirmedAt returns when the platform last answered this host or a peer that is
// up, as far as this host knows, or zero if it never did.
func (e *Edge) confirmedAt() time.Time {
	at := e.reader.confirmedAt()
	for _, h := range e.hosts {
		if seen := e.peerConfirmedAt[h.ID()]; seen.After(at) && e.isUp(h.ID()) {
			at = seen
		}
	}
	return at
}

// compareDigest records when the platform last confirmed a peer's view, and asks
// the peer for the changes that this host lacks.
func (e *Edge) compareDigest(now time.Time, from bbtfleet.HostID, d bbtview.Digest) {
	if d.Age != bbtview.AgeUnknown {
		at := now.Add(-time.Duration(d.Age) * time.Millisecond)
		if at.After(e.peerConfirmedAt[from]) {
			e.peerConfirmedAt[from] = at
		}
	}
	if d.Hosts <= e.catalog.Revision() || now.Sub(e.updateRequestedAt) < minUpdateRequestInterval {
		return
	}
	e.updateRequestedAt = now
	e.send(from, UpdateRequest{e.catalog.Revision()})
}

// applyUpdate applies published changes to the catalog and logs them.
func (e *Edge) applyUpdate(now time.Time, u bbtcatalog.Update, from string) {
	before, version := e.catalog.Revision(), e.index.Load().Version()
	changed := e.catalog.Apply(now, u)
	e.reader.setRevision(e.catalog.Revision(), from != "platform")
	if !changed {
		return
	}
	e.publishCatalog(now)
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

// publishCatalog passes the current catalog to the scheduler and to other
// goroutines.
func (e *Edge) publishCatalog(now time.Time) {
	e.catalogPublishedAt = now
	ix := e.catalog.Index()
	e.index.Store(ix)
	e.ready.Store(ix.Config() != nil)
	e.doScheduler(e.scheduler.SetCatalog(now, ix, e.endpoints(now)))
	e.entry.KeepLimits(e.scheduler.HasEndpoint)
}
