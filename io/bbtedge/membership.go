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
	// rosterEvery is the time between tellings of all known hosts to one of them
	// at random while new ones are met, and rosterFor how long that goes on after
	// the last one. Changes that travel with probes are sent a few times only, and
	// what is sent to a host that just starts may be lost.
	rosterEvery = 500 * time.Millisecond
	rosterFor   = 10 * time.Second
	// rosterBytes is what one host takes in a roster, and rosterRate what rosters
	// may take of a host's traffic in bytes/s: half of what control may.
	rosterBytes = 25
	rosterRate  = 2000
)

// rosterWait returns the time between tellings of so many hosts.
func rosterWait(hosts int) time.Duration {
	return max(rosterEvery, time.Duration(hosts)*rosterBytes*time.Second/rosterRate)
}

// setHosts gives the known hosts to the member and the peers.
func (e *Edge) setHosts(now time.Time) {
	e.peers.SetHosts(e.hosts)
	list := append([]bbtfleet.Host{e.settings.host(e.settings.Host)}, e.hosts...)
	e.doMember(now, e.member.SetHosts(now, bbtfleet.NewHostList(0, list)))
	e.member.SetPartners(e.member.Neighbours())
}

// doMember carries out what the Member asks for.
func (e *Edge) doMember(now time.Time, actions []bbtmember.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case bbtmember.Send:
			e.peers.Send(a.To, a.Message)
		case bbtmember.StateChanged:
			e.hostChanged(now, a)
		case bbtmember.DigestReceived:
			e.compare(now, a.Host, a.Digest)
		case bbtmember.NeighboursChanged:
			e.member.SetPartners(a.Hosts)
		case bbtmember.HostDiscovered:
			e.meet(now, a)
		case bbtmember.Paused:
			e.counters.Add("pauses", 1)
			e.log.Warn("process did not run", zap.Duration("gap", a.Gap))
		}
	}
}

// meet takes a host in that was not known.
func (e *Edge) meet(now time.Time, m bbtmember.HostDiscovered) {
	id := bbtfleet.HostID(m.Change.Host)
	if id == e.settings.Host || slices.ContainsFunc(e.hosts, func(h bbtfleet.Host) bool { return h.ID() == id }) {
		return
	}
	e.log.Info("host met", zap.String("peer", m.Change.Host), zap.Bool("direct", m.Direct))
	e.hosts = append(e.hosts, e.settings.host(id))
	e.setHosts(now)
	e.doMember(now, e.member.AddDiscovered(now, m.Change))
	if m.Direct {
		e.tell(id, MembershipSnapshot{e.member.KnownStates()})
	}
	e.metAt = now
	e.follow(now)
	e.locate()
}

// tellRoster tells a host at random of all others.
func (e *Edge) tellRoster(now time.Time) {
	if now.Sub(e.metAt) > rosterFor || now.Sub(e.rosterAt) < rosterWait(len(e.hosts)) {
		return
	}
	if up := e.upHosts(); len(up) > 0 {
		e.rosterAt = now
		e.tell(up[e.rng.IntN(len(up))].ID, MembershipSnapshot{e.member.KnownStates()})
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
	e.follow(now)
	e.locate()
}

// up reports whether a host is believed to run and to take requests.
func (e *Edge) up(id bbtfleet.HostID) bool {
	return e.member.State(id) < bbtmember.Leaving && e.member.Incarnation(id) != 0
}

// upHosts returns the other hosts that are up.
func (e *Edge) upHosts() []bbtlead.Host {
	var up []bbtlead.Host
	for _, h := range e.hosts {
		if id := h.ID(); e.up(id) {
			up = append(up, bbtlead.Host{ID: id, Incarnation: uint64(e.member.Incarnation(id))})
		}
	}
	return up
}

// follow chooses the owner anew.
func (e *Edge) follow(now time.Time) {
	e.lead.SetLivePeers(now, e.upHosts())
	before := e.lead.Owner().ID
	if !e.lead.Elect(now, e.leaving.Load()) {
		return
	}
	owner := e.lead.Owner().ID
	e.log.Info("owner chosen", zap.String("peer", string(owner)), zap.String("before", string(before)))
	e.counters.Add("owner-changes", 1)
	if e.lead.IsOwner() {
		if !e.toldAt.IsZero() {
			e.scheduler.ImportDeficits(e.toldAt, e.told)
		}
		e.setShare(now)
	}
	e.doEntry(now, e.entry.SetOwner(now, owner))
	e.deliverLocal(now)
}

// setShare sets the part of all limits that this host may use as an owner.
func (e *Edge) setShare(now time.Time) {
	s := e.lead.Share(now, e.settings.Bounds.RateOver)
	if s.Limits != e.scheduler.Share() && e.lead.IsOwner() {
		e.log.Info("share of limits", zap.Float64("share", s.Limits), zap.Int("following", s.Followers), zap.Int("known", s.KnownHosts))
	}
	e.scheduler.SetShare(s.Limits, s.Slots)
}

// locate makes anew the list of addresses that callers are given.
func (e *Edge) locate() {
	var list []string
	if !e.leaving.Load() {
		list = append(list, e.settings.ListenAddr)
	}
	for _, h := range e.hosts {
		if e.up(h.ID()) {
			list = append(list, h.CallerAddr())
		}
	}
	if len(list) == 0 {
		list = append(list, e.settings.ListenAddr)
	}
	e.addresses.Store(&list)
}
