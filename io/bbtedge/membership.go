package bbtedge

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtlead"
	"bluebelltray/core/bbtmember"
	"go.uber.org/zap"
)

const (
	// minSnapshotInterval is the time between tellings of all known hosts to one of them
	// at random while new ones are met, and snapshotDuration how long that goes on after
	// the last one. Changes that travel with probes are sent a few times only, and
	// what is sent to a host that just starts may be lost.
	minSnapshotInterval = 500 * time.Millisecond
	snapshotDuration    = 10 * time.Second
	// snapshotBytesPerHost is what one host takes in a roster, and snapshotBytesPerSecond what rosters
	// may take of a host's traffic in bytes/s: half of what control may.
	snapshotBytesPerHost   = 25
	snapshotBytesPerSecond = 2000
)

// snapshotInterval returns the time between tellings of so many hosts.
func snapshotInterval(hosts int) time.Duration {
	return max(minSnapshotInterval, time.Duration(hosts)*snapshotBytesPerHost*time.Second/snapshotBytesPerSecond)
}

// setHosts gives the known hosts to the member and the peers.
func (e *Edge) setHosts(now time.Time) {
	e.peers.SetHosts(e.hosts)
	list := append([]bbtfleet.Host{e.settings.newHost(e.settings.Host)}, e.hosts...)
	e.doDetector(now, e.detector.SetHosts(now, bbtfleet.NewHostList(0, list)))
	e.detector.SetPartners(e.detector.Neighbours())
}

// doDetector carries out what the Member asks for.
func (e *Edge) doDetector(now time.Time, actions []bbtmember.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case bbtmember.Send:
			e.peers.Send(a.To, a.Message)
		case bbtmember.StateChanged:
			e.hostChanged(now, a)
		case bbtmember.DigestReceived:
			e.compareDigest(now, a.Host, a.Digest)
		case bbtmember.NeighboursChanged:
			e.detector.SetPartners(a.Hosts)
		case bbtmember.HostDiscovered:
			e.addHost(now, a)
		case bbtmember.Paused:
			e.counters.Add("pauses", 1)
			e.log.Warn("process did not run", zap.Duration("gap", a.Gap))
		}
	}
}

// meet takes a host in that was not known.
func (e *Edge) addHost(now time.Time, m bbtmember.HostDiscovered) {
	id := bbtfleet.HostID(m.Change.Host)
	if id == e.settings.Host || slices.ContainsFunc(e.hosts, func(h bbtfleet.Host) bool { return h.ID() == id }) {
		return
	}
	e.log.Info("host met", zap.String("peer", m.Change.Host), zap.Bool("direct", m.Direct))
	e.hosts = append(e.hosts, e.settings.newHost(id))
	e.setHosts(now)
	e.doDetector(now, e.detector.AddDiscovered(now, m.Change))
	if m.Direct {
		e.send(id, MembershipSnapshot{e.detector.KnownStates()})
	}
	e.discoveredAt = now
	e.electOwner(now)
	e.updateAddresses()
}

// sendSnapshot tells a host at random of all others.
func (e *Edge) sendSnapshot(now time.Time) {
	if now.Sub(e.discoveredAt) > snapshotDuration || now.Sub(e.snapshotAt) < snapshotInterval(len(e.hosts)) {
		return
	}
	if up := e.livePeers(); len(up) > 0 {
		e.snapshotAt = now
		e.send(up[e.rng.IntN(len(up))].ID, MembershipSnapshot{e.detector.KnownStates()})
	}
}

// hostChanged follows the suspicion, death or return of a host.
func (e *Edge) hostChanged(now time.Time, c bbtmember.StateChanged) {
	e.log.Info("host changed", zap.String("peer", string(c.Host)), zap.Stringer("state", c.State))
	e.counters.Add("host-"+c.State.String(), 1)
	switch c.State {
	case bbtmember.Suspect:
		e.peers.Reset(c.Host)
	case bbtmember.Dead:
		e.peers.Reset(c.Host)
		e.doScheduler(e.scheduler.RemoveHost(now, c.Host))
	}
	e.electOwner(now)
	e.updateAddresses()
}

// up reports whether a host is believed to run and to take requests.
func (e *Edge) isUp(id bbtfleet.HostID) bool {
	return e.detector.State(id) < bbtmember.Leaving && e.detector.Incarnation(id) != 0
}

// livePeers returns the other hosts that are up.
func (e *Edge) livePeers() []bbtlead.Host {
	var up []bbtlead.Host
	for _, h := range e.hosts {
		if id := h.ID(); e.isUp(id) {
			up = append(up, bbtlead.Host{ID: id, Incarnation: uint64(e.detector.Incarnation(id))})
		}
	}
	return up
}

// follow chooses the owner anew.
func (e *Edge) electOwner(now time.Time) {
	e.election.SetLivePeers(now, e.livePeers())
	before := e.election.Owner().ID
	if !e.election.Elect(now, e.leaving.Load()) {
		return
	}
	owner := e.election.Owner().ID
	e.log.Info("owner chosen", zap.String("peer", string(owner)), zap.String("before", string(before)))
	e.counters.Add("owner-changes", 1)
	if e.election.IsOwner() {
		if !e.ownerDeficitsAt.IsZero() {
			e.scheduler.ImportDeficits(e.ownerDeficitsAt, e.ownerDeficits)
		}
		e.setShare(now)
	}
	e.doEntry(now, e.entry.SetOwner(now, owner))
	e.deliverLocal(now)
}

// setShare sets the part of all limits that this host may use as an owner.
func (e *Edge) setShare(now time.Time) {
	s := e.election.Share(now, e.settings.Bounds.RateOver)
	if s.Limits != e.scheduler.Share() && e.election.IsOwner() {
		e.log.Info("share of limits", zap.Float64("share", s.Limits), zap.Int("following", s.Followers), zap.Int("known", s.KnownHosts))
	}
	e.scheduler.SetShare(s.Limits, s.Slots)
}

// locate makes anew the list of addresses that callers are given.
func (e *Edge) updateAddresses() {
	var list []string
	if !e.leaving.Load() {
		list = append(list, e.settings.ListenAddr)
	}
	for _, h := range e.hosts {
		if e.isUp(h.ID()) {
			list = append(list, h.CallerAddr())
		}
	}
	if len(list) == 0 {
		list = append(list, e.settings.ListenAddr)
	}
	e.addresses.Store(&list)
}
