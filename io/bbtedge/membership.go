package bbtedge

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtlead"
	"bluebelltray/core/bbtmember"
	"go.uber.org/zap"
)

const (
	// A membership snapshot goes to a random host at least minSnapshotInterval
	// after the one before, until snapshotDuration after the last discovery of a
	// host. Probes carry each change a few times only, and messages to a host that
	// is just starting may be lost.
	minSnapshotInterval = 500 * time.Millisecond
	snapshotDuration    = 10 * time.Second
	// A host connects to the standby of the owner between minStandbyDelay and
	// minStandbyDelay+standbySpread after it has become the standby, and again, if
	// necessary, after each standbyInterval.
	minStandbyDelay = time.Second
	standbySpread   = 4 * time.Second
	standbyInterval = 30 * time.Second
	// snapshotBytesPerHost is the encoded size of one host in a snapshot.
	// snapshotBytesPerSecond limits the traffic of snapshots to half of a host's
	// budget for control traffic.
	snapshotBytesPerHost   = 25
	snapshotBytesPerSecond = 2000
)

// snapshotInterval returns the time between snapshots of the given number of
// hosts.
func snapshotInterval(hosts int) time.Duration {
	return max(minSnapshotInterval, time.Duration(hosts)*snapshotBytesPerHost*time.Second/snapshotBytesPerSecond)
}

// setHosts passes the known hosts to the transport and the failure detector.
func (e *Edge) setHosts(now time.Time) {
	e.peers.SetHosts(e.hosts)
	list := append([]bbtfleet.Host{e.settings.newHost(e.settings.Host)}, e.hosts...)
	e.doDetector(now, e.detector.SetHosts(now, bbtfleet.NewHostList(0, list)))
	e.detector.SetPartners(e.detector.Neighbours())
}

// doDetector carries out the actions of the failure detector.
func (e *Edge) doDetector(now time.Time, actions []bbtmember.Action) {
	var discovered []bbtmember.HostDiscovered
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
			discovered = append(discovered, a)
		case bbtmember.Paused:
			e.counters.Add("pauses", 1)
			e.log.Warn("process did not run", zap.Duration("gap", a.Gap))
		}
	}
	if len(discovered) > 0 {
		e.addHosts(now, discovered)
	}
}

// addHosts adds the discovered hosts that are not known yet, all at once: a host
// that joins a large fleet learns of all others in one message.
func (e *Edge) addHosts(now time.Time, discovered []bbtmember.HostDiscovered) {
	known := map[bbtfleet.HostID]bool{e.settings.Host: true}
	for _, h := range e.hosts {
		known[h.ID()] = true
	}
	added := discovered[:0]
	for _, d := range discovered {
		id := bbtfleet.HostID(d.Change.Host)
		if known[id] {
			continue
		}
		known[id] = true
		e.log.Info("host met", zap.String("peer", d.Change.Host), zap.Bool("direct", d.Direct))
		e.hosts = append(e.hosts, e.settings.newHost(id))
		added = append(added, d)
	}
	if len(added) == 0 {
		return
	}
	e.setHosts(now)
	for _, d := range added {
		e.doDetector(now, e.detector.AddDiscovered(now, d.Change))
	}
	for _, d := range added {
		if d.Direct {
			e.send(bbtfleet.HostID(d.Change.Host), MembershipSnapshot{e.detector.KnownStates()})
		}
	}
	e.discoveredAt = now
	e.electOwner(now)
	e.updateEntrances()
}

// sendSnapshot sends the states of all known hosts to a random one of those that
// are up, if a snapshot is due.
func (e *Edge) sendSnapshot(now time.Time) {
	if now.Sub(e.discoveredAt) > snapshotDuration || now.Sub(e.snapshotAt) < snapshotInterval(len(e.hosts)) {
		return
	}
	if up := e.livePeers(); len(up) > 0 {
		e.snapshotAt = now
		e.send(up[e.rng.IntN(len(up))].ID, MembershipSnapshot{e.detector.KnownStates()})
	}
}

// hostChanged handles a change of a host's state.
func (e *Edge) hostChanged(now time.Time, c bbtmember.StateChanged) {
	e.log.Info("host changed", zap.String("peer", string(c.Host)), zap.Stringer("state", c.State))
	e.counters.Add("host-"+c.State.String(), 1)
	switch c.State {
	case bbtmember.Suspect:
		e.peers.Reconnect(c.Host)
	case bbtmember.Dead:
		e.peers.Reconnect(c.Host)
		e.doScheduler(e.scheduler.RemoveHost(now, c.Host))
	}
	e.electOwner(now)
	e.updateEntrances()
}

// isUp reports whether a host has been heard from and is neither leaving nor
// dead.
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

// electOwner elects the owner and, if it has changed, registers requests with
// the new one.
func (e *Edge) electOwner(now time.Time) {
	e.election.SetLivePeers(now, e.livePeers())
	before := e.election.Owner()
	if !e.election.Elect(now, e.leaving.Load()) {
		return
	}
	owner := e.election.Owner().ID
	e.log.Info("owner chosen", zap.String("peer", string(owner)), zap.String("before", string(before.ID)))
	e.counters.Add("owner-changes", 1)
	if e.election.IsOwner() {
		if !e.ownerDeficitsAt.IsZero() {
			e.scheduler.ImportDeficits(e.ownerDeficitsAt, e.ownerDeficits)
		}
		if before.ID != "" && e.isLost(now, before) {
			e.scheduler.OwnerLost(now, e.election.LostFraction())
		}
		e.setShare(now)
	}
	e.entry.SetLearned(e.scheduler.Learned(now))
	e.doEntry(now, e.entry.SetOwner(now, owner))
	e.deliverLocal(now)
}

// isLost reports whether a former owner tells the next one nothing: it is dead, another
// process, or unresponsive. One that leaves or is not elected again tells its usage.
func (e *Edge) isLost(now time.Time, h bbtlead.Host) bool {
	return e.detector.State(h.ID) == bbtmember.Dead || uint64(e.detector.Incarnation(h.ID)) != h.Incarnation || e.election.IsExcluded(now, h.ID)
}

// connectStandby keeps a connection to the host that becomes the owner if the
// present one fails, so that it need not accept connections of all hosts at that
// moment. Hosts connect at different times.
func (e *Edge) connectStandby(now time.Time) {
	id := e.election.Standby(now).ID
	switch {
	case id == "" || id == e.settings.Host:
		e.standby = ""
	case id != e.standby:
		e.standby = id
		e.standbyConnectAt = now.Add(minStandbyDelay + time.Duration(e.rng.Int64N(int64(standbySpread))))
	case !now.Before(e.standbyConnectAt):
		e.standbyConnectAt = now.Add(standbyInterval)
		e.peers.Connect(id)
	}
}

// setShare sets the fraction of all limits that this host may use as an owner.
func (e *Edge) setShare(now time.Time) {
	s := e.election.Share(now, e.settings.Bounds.RateOver)
	if s.Limits != e.scheduler.Share() && e.election.IsOwner() {
		e.log.Info("share of limits", zap.Float64("share", s.Limits), zap.Int("following", s.Followers), zap.Int("known", s.KnownHosts))
	}
	e.scheduler.SetShare(s.Limits, s.Slots)
}

// updateEntrances updates the list of hosts that callers are given. It is never
// empty: a host that knows of no other one lists itself, even if it leaves.
func (e *Edge) updateEntrances() {
	owner := e.election.Owner().ID
	self := bbtlead.Entrance{Addr: e.settings.ListenAddr, CPUClass: bbtlead.CPUClass(e.incarnation()), Owner: owner == e.settings.Host}
	list := make([]bbtlead.Entrance, 0, len(e.hosts)+1)
	if !e.leaving.Load() {
		list = append(list, self)
	}
	for _, h := range e.hosts {
		if id := h.ID(); e.isUp(id) {
			list = append(list, bbtlead.Entrance{Addr: h.CallerAddr(), CPUClass: bbtlead.CPUClass(uint64(e.detector.Incarnation(id))), Owner: owner == id})
		}
	}
	if len(list) == 0 {
		list = append(list, self)
	}
	e.entrances.Store(&list)
}
