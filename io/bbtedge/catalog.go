package bbtedge

import (
	"slices"
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
// Hosts holds the revision of the catalog's position, Revision the version of the
// configuration in force.
func (e *Edge) digest(now time.Time) bbtview.Digest {
	at := e.catalog.Position()
	d := bbtview.Digest{Revision: uint64(e.index.Load().Version()), Hosts: at.Revision, Era: at.Era, Age: bbtview.AgeUnknown}
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
// the peer for the changes that this host lacks. A version that operators published
// may be in force at the peer although the platform has lost it.
func (e *Edge) compareDigest(now time.Time, from bbtfleet.HostID, d bbtview.Digest) {
	if d.Age != bbtview.AgeUnknown {
		at := now.Add(-time.Duration(d.Age) * time.Millisecond)
		if at.After(e.peerConfirmedAt[from]) {
			e.peerConfirmedAt[from] = at
		}
	}
	at, version := e.catalog.Position(), e.index.Load().Version()
	theirs := bbtcatalog.Position{Era: d.Era, Revision: d.Hosts}
	if !at.Before(theirs) && int64(d.Revision) <= version || now.Sub(e.updateRequestedAt) < minUpdateRequestInterval {
		return
	}
	e.updateRequestedAt = now
	e.send(from, UpdateRequest{Revision: at.Revision, Era: at.Era, Version: version})
}

// applyUpdate applies published changes to the catalog and logs them.
func (e *Edge) applyUpdate(now time.Time, u bbtcatalog.Update, from string) {
	before, version := e.catalog.Position(), e.index.Load().Version()
	var known []bbtcatalog.ListedEndpoint
	if u.Full {
		known = e.catalog.Endpoints(now)
	}
	changed := e.catalog.Apply(now, u)
	at := e.catalog.Position()
	e.reader.setPosition(at, from != "platform")
	if at.Era > before.Era && before.Revision > 0 {
		e.logRestoration(before, from)
	}
	if !changed {
		return
	}
	e.publishCatalog(now)
	for _, c := range u.Changes {
		if c.Endpoint != nil && !c.Removed && slices.ContainsFunc(known, func(l bbtcatalog.ListedEndpoint) bool { return l.Endpoint == *c.Endpoint }) {
			continue
		}
		e.logChange(bbtcatalog.Position{Era: u.Era, Revision: c.Revision}, c, before, from)
	}
	if v := e.index.Load().Version(); v != version {
		e.counters.Set("configuration-version", v)
		e.log.Info("configuration in force", zap.Int64("version", v), zap.Int64("before", version), zap.String("from", from))
	}
}

// logRestoration logs that the platform has returned with an older copy of its state,
// and what of the state before is kept.
func (e *Edge) logRestoration(before bbtcatalog.Position, from string) {
	at, r := e.catalog.Position(), e.catalog.Restoration()
	e.counters.Add("platform-restorations", 1)
	e.log.Warn("platform restored from a copy", zap.Uint64("era", at.Era), zap.Uint64("revision", at.Revision),
		zap.Uint64("era-before", before.Era), zap.Uint64("revision-before", before.Revision), zap.String("from", from),
		zap.Int("endpoints-unlisted", r.UnlistedEndpoints), zap.Int("endpoints-held-back", r.HeldBackEndpoints),
		zap.Int("endpoints-still-draining", r.DrainingEndpoints), zap.Int("zones-unlisted", r.UnlistedZones))
}

// logChange logs a change of an endpoint or an availability zone.
func (e *Edge) logChange(at bbtcatalog.Position, c bbtcatalog.Change, before bbtcatalog.Position, from string) {
	if !before.Before(at) {
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
	e.entry.KeepLimits(now, e.scheduler.HasEndpoint)
	e.entry.KeepDraining(now, e.scheduler.HasEndpoint)
}
