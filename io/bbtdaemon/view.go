package bbtdaemon

import (
	"time"

	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbthome"
	"bluebelltray/core/bbtmember"
	"bluebelltray/core/bbtowner"
	"bluebelltray/core/bbtroute"
	"bluebelltray/core/bbtsuspect"
	"bluebelltray/core/bbtview"
	"go.uber.org/zap"
)

// performViewActions carries out the actions requested by the View.
func (d *Daemon) performViewActions(now time.Time, actions []bbtview.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case bbtview.ConfigurationApplied:
			d.applyConfiguration(now, a.Configuration)
		case bbtview.HostListApplied:
			d.applyHostList(now, a.Hosts)
		case bbtview.ConfigurationRefused:
			d.counters.Add("configurations-rejected", 1)
			d.log.Warn("configuration rejected", zap.Stringer("version", a.Version), zap.Error(a.Err))
		case bbtview.Serve:
			d.log.Info("serving")
			d.recomputePlacement(now)
		case bbtview.SendDigest:
			d.peers.Send(a.To, a.Digest)
		case bbtview.SendQuery:
			d.sendQuery(now, a)
		case bbtview.SendReply:
			d.sendReply(a)
		default:
			d.startRead(a)
		}
	}
}

// performDetectorActions carries out the actions requested by the failure
// detector.
func (d *Daemon) performDetectorActions(now time.Time, actions []bbtmember.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case bbtmember.Send:
			d.peers.Send(a.To, a.Message)
		case bbtmember.StateChanged:
			d.handleHostState(now, a)
		case bbtmember.DigestReceived:
			d.performViewActions(now, d.view.ReceiveDigest(now, a.PingSentAt, a.Host, a.Digest))
		case bbtmember.NeighboursChanged:
			d.view.SetNeighbours(a.Hosts)
		case bbtmember.Paused:
			d.counters.Add("pauses", 1)
			d.log.Warn("process did not run", zap.Duration("gap", a.Gap))
			d.performViewActions(now, d.view.Paused(now))
		}
	}
}

// handleHostState handles a state change of another host.
func (d *Daemon) handleHostState(now time.Time, c bbtmember.StateChanged) {
	d.log.Info("host changed", zap.String("peer", string(c.Host)), zap.Stringer("state", c.State))
	d.counters.Add("host-"+c.State.String(), 1)
	if c.State == bbtmember.Suspect {
		d.peers.Reconnect(c.Host)
		return
	}
	d.stepCrashAgent(now, bbtsuspect.HostUnreachable{Host: c.Host, Unreachable: c.State >= bbtmember.Leaving})
	d.placementStale = true
	if c.State == bbtmember.Dead {
		// The connection may have been opened since the host became suspect. Calls
		// forwarded on it would wait until it idles out.
		d.peers.Disconnect(c.Host)
		d.stepExecutor(now, bbtexec.PeerLost{Host: c.Host})
		d.performOwnerActions(now, d.owner.EntryHostLost(now, c.Host))
		d.performEntryActions(now, d.entry.HostLost(now, c.Host))
	}
}

// applyConfiguration replaces the active configuration.
func (d *Daemon) applyConfiguration(now time.Time, cfg *bbtfleet.Configuration) {
	d.config = cfg
	d.limiter.SetContracts(cfg)
	d.pools = make(map[bbtfleet.PoolID]bbtfleet.Kind)
	for _, ep := range cfg.Endpoints() {
		d.pools[ep.Pool()] = ep.Kind()
	}
	d.counters.Set("configuration-revision", int64(cfg.Version().Revision()))
	d.log.Info("configuration in force", zap.Stringer("version", cfg.Version()))
	d.recomputePlacement(now)
}

// applyHostList replaces the active host list.
func (d *Daemon) applyHostList(now time.Time, hosts bbtfleet.HostList) {
	d.hosts = hosts
	d.peers.SetHosts(hosts.Hosts())
	d.counters.Set("host-list-revision", int64(hosts.Revision()))
	d.log.Info("host list in force", zap.Uint64("revision", uint64(hosts.Revision())))
	d.stepCrashAgent(now, bbtsuspect.HostsChanged{Hosts: liveHosts(hosts)})
	d.performDetectorActions(now, d.detector.SetHosts(now, hosts))
	d.stepExecutor(now, bbtexec.ViewConfirmed{View: bbthome.NewView(hosts)})
	d.recomputePlacement(now)
}

// liveHosts returns the IDs of the hosts that the list marks as live.
func liveHosts(list bbtfleet.HostList) []bbtfleet.HostID {
	var ids []bbtfleet.HostID
	for _, h := range list.Hosts() {
		if h.State() == bbtfleet.HostLive {
			ids = append(ids, h.ID())
		}
	}
	return ids
}

// recomputePlacement computes the placement from the configuration and the host
// list.
func (d *Daemon) recomputePlacement(now time.Time) {
	d.placement = bbtowner.NewPlacement(d.config, d.hosts)
	if d.config == nil {
		return
	}
	if d.view.Serving() {
		d.rights.SetPlacement(now, d.placement)
	}
	d.applyPlacement(now)
}

// applyPlacement updates the roles with the endpoints in service and those that
// this host owns.
func (d *Daemon) applyPlacement(now time.Time) {
	if d.config == nil {
		return
	}
	d.placementStale = false
	d.callerPlacement = d.computeCallerPlacement()
	d.updateLimiterHosts()
	d.updateOwnedEndpoints(now, true)
	d.performEntryActions(now, d.entry.SetTargets(now, d.routeTargets()))
}

// routeTargets returns the endpoints in service, each with its most likely
// owner.
func (d *Daemon) routeTargets() []bbtroute.Target {
	var targets []bbtroute.Target
	for _, ep := range d.config.Endpoints() {
		if !d.config.InService(ep.ID()) {
			continue
		}
		if owner, ok := d.placement.LikelyOwner(ep.ID(), d.available); ok {
			targets = append(targets, bbtroute.Target{Endpoint: ep, Owner: owner})
		}
	}
	return targets
}

// recordIncarnation tells the executor the incarnation of the peer that sent a
// ping or an ack.
func (d *Daemon) recordIncarnation(now time.Time, from bbtfleet.HostID, m bbtmember.Message) {
	switch m := m.(type) {
	case bbtmember.Ping:
		d.stepExecutor(now, bbtexec.PeerIncarnation{Host: from, Incarnation: bbtfleet.Incarnation(m.Incarnation)})
	case bbtmember.Ack:
		d.stepExecutor(now, bbtexec.PeerIncarnation{Host: from, Incarnation: bbtfleet.Incarnation(m.Incarnation)})
	}
}
