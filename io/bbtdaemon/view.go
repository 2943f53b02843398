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

// doView carries out what the Keeper asks for.
func (d *Daemon) doView(now time.Time, actions []bbtview.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case bbtview.ConfigurationApplied:
			d.takeConfiguration(now, a.Configuration)
		case bbtview.HostListApplied:
			d.takeHosts(now, a.Hosts)
		case bbtview.ConfigurationRejected:
			d.counters.Add("configurations-rejected", 1)
			d.log.Warn("configuration rejected", zap.Stringer("version", a.Version), zap.Error(a.Err))
		case bbtview.Serve:
			d.log.Info("serving")
			d.rank(now)
		case bbtview.SendDigest:
			d.peers.Send(a.To, a.Digest)
		case bbtview.SendQuery:
			d.ask(now, a)
		case bbtview.SendReply:
			d.answerPeer(a)
		default:
			d.read(a)
		}
	}
}

// doMember carries out what the Member asks for.
func (d *Daemon) doMember(now time.Time, actions []bbtmember.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case bbtmember.Send:
			d.peers.Send(a.To, a.Message)
		case bbtmember.StateChanged:
			d.hostChanged(now, a)
		case bbtmember.DigestReceived:
			d.doView(now, d.keeper.ReceiveDigest(now, a.PingSentAt, a.Host, a.Digest))
		case bbtmember.NeighboursChanged:
			d.keeper.SetNeighbours(a.Hosts)
		case bbtmember.Paused:
			d.counters.Add("pauses", 1)
			d.log.Warn("process did not run", zap.Duration("gap", a.Gap))
			d.doView(now, d.keeper.Paused(now))
		}
	}
}

// hostChanged follows the death or return of a host.
func (d *Daemon) hostChanged(now time.Time, c bbtmember.StateChanged) {
	d.log.Info("host changed", zap.String("peer", string(c.Host)), zap.Stringer("state", c.State))
	d.counters.Add("host-"+c.State.String(), 1)
	if c.State == bbtmember.Suspect {
		d.peers.Reset(c.Host)
		return
	}
	d.stepAgent(now, bbtsuspect.HostUnreachable{Host: c.Host, Unreachable: c.State >= bbtmember.Leaving})
	d.misplaced = true
	if c.State == bbtmember.Dead {
		d.step(now, bbtexec.PeerLost{Host: c.Host})
		d.doOwner(now, d.owner.EntryHostLost(now, c.Host))
		d.doEntry(now, d.entry.HostLost(now, c.Host))
	}
}

// takeConfiguration puts a configuration in force.
func (d *Daemon) takeConfiguration(now time.Time, cfg *bbtfleet.Configuration) {
	d.config = cfg
	d.limiter.SetContracts(cfg)
	d.pools = make(map[bbtfleet.PoolID]bbtfleet.Kind)
	for _, ep := range cfg.Endpoints() {
		d.pools[ep.Pool()] = ep.Kind()
	}
	d.counters.Set("configuration-revision", int64(cfg.Version().Revision()))
	d.log.Info("configuration in force", zap.Stringer("version", cfg.Version()))
	d.rank(now)
}

// takeHosts puts a host list in force.
func (d *Daemon) takeHosts(now time.Time, hosts bbtfleet.HostList) {
	d.hosts = hosts
	d.peers.SetHosts(hosts.Hosts())
	d.counters.Set("host-list-revision", int64(hosts.Revision()))
	d.log.Info("host list in force", zap.Uint64("revision", uint64(hosts.Revision())))
	d.stepAgent(now, bbtsuspect.HostsChanged{Hosts: live(hosts)})
	d.doMember(now, d.member.SetHosts(now, hosts))
	d.step(now, bbtexec.ViewConfirmed{View: bbthome.NewView(hosts)})
	d.rank(now)
}

// live returns the names of the list's hosts that take new work.
func live(list bbtfleet.HostList) []bbtfleet.HostID {
	var ids []bbtfleet.HostID
	for _, h := range list.Hosts() {
		if h.State() == bbtfleet.HostLive {
			ids = append(ids, h.ID())
		}
	}
	return ids
}

// rank computes the placement anew.
func (d *Daemon) rank(now time.Time) {
	d.places = bbtowner.NewMap(d.config, d.hosts)
	if d.config == nil {
		return
	}
	if d.keeper.Serving() {
		d.rights.SetMap(now, d.places)
	}
	d.place(now)
}

// place gives the roles the endpoints in service and those that this host may
// fill.
func (d *Daemon) place(now time.Time) {
	if d.config == nil {
		return
	}
	d.misplaced = false
	d.callers = d.reachable()
	d.limitHosts()
	d.own(now, true)
	d.doEntry(now, d.entry.View(now, d.targets()))
}

// targets returns the endpoints in service with the hosts that most likely own
// them.
func (d *Daemon) targets() []bbtroute.Target {
	var targets []bbtroute.Target
	for _, ep := range d.config.Endpoints() {
		if !d.config.InService(ep.ID()) {
			continue
		}
		if owner, ok := d.places.LikelyOwner(ep.ID(), d.up); ok {
			targets = append(targets, bbtroute.Target{Endpoint: ep, Owner: owner})
		}
	}
	return targets
}

// seen tells the executor which process of a peer a probe or its answer came
// from.
func (d *Daemon) seen(now time.Time, from bbtfleet.HostID, m bbtmember.Message) {
	switch m := m.(type) {
	case bbtmember.Ping:
		d.step(now, bbtexec.PeerIncarnation{Host: from, Incarnation: bbtfleet.Incarnation(m.Incarnation)})
	case bbtmember.Ack:
		d.step(now, bbtexec.PeerIncarnation{Host: from, Incarnation: bbtfleet.Incarnation(m.Incarnation)})
	}
}
