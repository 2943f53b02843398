package bbtedge

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtmember"
	"go.uber.org/zap"
)

const (
	// mayRunFor is how long a host that is no longer heard counts as one that
	// may still serve, cut off from the others.
	mayRunFor = 20 * time.Second
	// followedFor is how long a host counts as a follower after its last sign.
	followedFor = 1500 * time.Millisecond
	// followGrace is the time that hosts have to follow a new owner; until then
	// those that are up count as followers.
	followGrace = 700 * time.Millisecond
	// limitsBeyond is the part of the operators' tolerance by which an owner's
	// share of the limits is widened.
	limitsBeyond = 0.2
	// aloneShare is the part of all limits that a host uses that knows of no
	// other host.
	aloneShare = 0.125
)

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
		case bbtmember.Changed:
			e.hostChanged(now, a)
		case bbtmember.DigestSeen:
			e.compare(now, a.Host, a.Digest)
		case bbtmember.Neighbours:
			e.member.SetPartners(a.Hosts)
		case bbtmember.Met:
			e.meet(now, a)
		case bbtmember.Paused:
			e.counters.Add("pauses", 1)
			e.log.Warn("process did not run", zap.Duration("gap", a.Gap))
		}
	}
}

// meet takes a host in that was not known.
func (e *Edge) meet(now time.Time, m bbtmember.Met) {
	id := bbtfleet.HostID(m.Change.Host)
	if id == e.settings.Host || slices.ContainsFunc(e.hosts, func(h bbtfleet.Host) bool { return h.ID() == id }) {
		return
	}
	e.log.Info("host met", zap.String("peer", m.Change.Host), zap.Bool("direct", m.Direct))
	e.hosts = append(e.hosts, e.settings.host(id))
	e.setHosts(now)
	e.doMember(now, e.member.Introduce(now, m.Change))
	e.tell(id, Roster{e.member.Roster()})
	e.follow(now)
	e.locate()
}

// hostChanged follows the suspicion, death or return of a host.
func (e *Edge) hostChanged(now time.Time, c bbtmember.Changed) {
	e.log.Info("host changed", zap.String("peer", string(c.Host)), zap.Stringer("state", c.State))
	e.counters.Add("host-"+c.State.String(), 1)
	switch c.State {
	case bbtmember.Suspect:
		e.peers.Reset(c.Host)
	case bbtmember.Dead:
		e.peers.Reset(c.Host)
		e.doScheduler(e.scheduler.Forget(now, c.Host))
	}
	e.follow(now)
	e.locate()
}

// up reports whether a host is believed to run and to take requests.
func (e *Edge) up(id bbtfleet.HostID) bool {
	return e.member.State(id) < bbtmember.Leaving && e.member.Incarnation(id) != 0
}

// follow chooses the owner: the host that has run longest of those that are up
// and answer.
func (e *Edge) follow(now time.Time) {
	best := e.settings.Host
	oldest := e.incarnation
	if e.leaving.Load() {
		oldest = ^uint64(0)
	}
	for _, h := range e.hosts {
		id := h.ID()
		if !e.up(id) {
			continue
		}
		e.lastAlive[id] = now
		if now.Before(e.avoid[id]) {
			continue
		}
		inc := uint64(e.member.Incarnation(id))
		if inc < oldest || inc == oldest && id < best {
			best, oldest = id, inc
		}
	}
	if best == e.entry.Owner() {
		return
	}
	e.log.Info("owner chosen", zap.String("peer", string(best)), zap.String("before", string(e.entry.Owner())))
	e.counters.Add("owner-changes", 1)
	if best == e.settings.Host {
		e.ownerSince = now
		if !e.toldAt.IsZero() {
			e.scheduler.Assume(e.toldAt, e.told)
		}
		e.setShare(now)
	}
	e.doEntry(now, e.entry.SetOwner(now, best))
	e.deliverLocal(now)
}

// setShare sets the part of all limits that this host may use as an owner: that
// of the hosts that follow it among all that may run, widened by a part of what
// the operators' bounds allow beyond the limits.
func (e *Edge) setShare(now time.Time) {
	known, following := 1, 1
	for _, h := range e.hosts {
		if seen, ok := e.lastAlive[h.ID()]; !ok || now.Sub(seen) > mayRunFor {
			continue
		}
		known++
		fresh := now.Sub(e.ownerSince) <= followGrace && e.up(h.ID())
		if fresh || now.Sub(e.followers[h.ID()]) <= followedFor {
			following++
		}
	}
	share, slots := aloneShare, aloneShare
	if part := float64(following) / float64(known); known > 1 && following > 1 {
		share, slots = min(1, part+e.settings.Bounds.RateOver*limitsBeyond), min(1, part+e.settings.Bounds.RateOver)
	} else if known > 1 {
		share, slots = part, part
	}
	if share != e.scheduler.Share() && e.entry.Owner() == e.settings.Host {
		e.log.Info("share of limits", zap.Float64("share", share), zap.Int("following", following), zap.Int("known", known))
	}
	e.scheduler.SetShare(share, slots)
}

// locate makes anew the list of addresses that callers are given.
func (e *Edge) locate() {
	var list []string
	if !e.leaving.Load() {
		list = append(list, e.settings.Callers)
	}
	for _, h := range e.hosts {
		if e.up(h.ID()) {
			list = append(list, h.CallerAddr())
		}
	}
	if len(list) == 0 {
		list = append(list, e.settings.Callers)
	}
	e.addresses.Store(&list)
}
