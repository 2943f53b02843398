package bbtmember

import (
	"maps"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtview"
)

// Tick does what is due at now. It is to be called every TickInterval; d is the
// host's own view.
func (m *Detector) Tick(now time.Time, d bbtview.Digest) []Action {
	gap := now.Sub(m.lastTick)
	first := m.lastTick.IsZero()
	m.lastTick = now
	if !first && gap > PauseThreshold {
		m.resume(now)
		return []Action{Paused{Gap: gap}}
	}
	actions := m.expireProbes(now, d)
	actions = append(actions, m.expireSuspects(now)...)
	actions = append(actions, m.probePartners(now, d)...)
	actions = append(actions, m.probeNeighbour(now, d)...)
	return append(actions, m.tellEagerly(now, d)...)
}

// resume forgets what ran out while the local process did not run.
func (m *Detector) resume(now time.Time) {
	m.probes.clear()
	for _, p := range m.peers {
		p.suspected = now
	}
}

// expireProbes asks others to probe for unanswered probes and suspects the
// targets that they don't reach either.
func (m *Detector) expireProbes(now time.Time, d bbtview.Digest) []Action {
	var actions []Action
	for _, pr := range m.probes.expire(now.Add(-AckTimeout)) {
		if pr.asker != "" || m.peers[pr.target] == nil {
			continue
		}
		if !pr.relayed {
			actions = append(actions, m.relay(now, pr)...)
			continue
		}
		actions = append(actions, m.suspect(now, d, pr.target)...)
	}
	return actions
}

// relay asks neighbours to probe the target of an unanswered probe.
func (m *Detector) relay(now time.Time, pr probe) []Action {
	seq := m.probes.add(probe{target: pr.target, sent: now, relayed: true})
	var actions []Action
	for _, id := range m.sample(relayHosts, pr.target) {
		actions = append(actions, Send{To: id, Message: IndirectPing{Seq: seq, Target: string(pr.target)}})
	}
	return actions
}

// suspect marks the host as suspect and tells it, so that it can refute.
func (m *Detector) suspect(now time.Time, d bbtview.Digest, id bbtfleet.HostID) []Action {
	p := m.peers[id]
	if p.state != Alive {
		return nil
	}
	p.state = Suspect
	p.suspected = now
	return []Action{StateChanged{Host: id, State: Suspect}, m.ping(now, d, id)}
}

// expireSuspects declares the hosts dead that have not refuted in time.
func (m *Detector) expireSuspects(now time.Time) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(m.peers)) {
		p := m.peers[id]
		if p.state != Suspect || now.Sub(p.suspected) < SuspectTimeout {
			continue
		}
		p.state = Dead
		m.announce(p.change())
		actions = append(actions, StateChanged{Host: id, State: Dead})
	}
	if len(actions) > 0 {
		actions = append(actions, m.chooseNeighbours()...)
	}
	return actions
}

// probePartners probes the partners one after another, each once every
// PartnerInterval.
func (m *Detector) probePartners(now time.Time, d bbtview.Digest) []Action {
	if len(m.partners) == 0 {
		return nil
	}
	step := PartnerInterval / time.Duration(len(m.partners))
	if now.Sub(m.nextPartner) > PartnerInterval {
		m.nextPartner = now
	}
	var actions []Action
	for !now.Before(m.nextPartner) {
		m.nextPartner = m.nextPartner.Add(step)
		m.partner = (m.partner + 1) % len(m.partners)
		if id := m.partners[m.partner]; m.find(id) != nil {
			actions = append(actions, m.ping(now, d, id))
		}
	}
	return actions
}

// probeNeighbour probes the next neighbour, now and then a host believed dead.
func (m *Detector) probeNeighbour(now time.Time, d bbtview.Digest) []Action {
	if m.nextProbe.IsZero() {
		m.nextProbe = now.Add(time.Duration(m.rng.Int64N(int64(ProbeInterval))))
	}
	if now.Before(m.nextProbe) {
		return nil
	}
	m.nextProbe = now.Add(ProbeInterval)
	m.rounds++
	if m.rounds%deadProbeRate == 0 {
		if id, ok := m.randomDead(); ok {
			return []Action{m.ping(now, d, id)}
		}
	}
	if len(m.neighbours) == 0 {
		return nil
	}
	m.next = (m.next + 1) % len(m.neighbours)
	return []Action{m.ping(now, d, m.neighbours[m.next])}
}

// randomDead returns a host of the host list that is believed dead.
func (m *Detector) randomDead() (bbtfleet.HostID, bool) {
	var dead []bbtfleet.HostID
	for _, pt := range m.ring.points {
		if p := m.peers[pt.id]; p != nil && p.state == Dead {
			dead = append(dead, pt.id)
		}
	}
	if len(dead) == 0 {
		return "", false
	}
	return dead[m.rng.IntN(len(dead))], true
}

// tellEagerly sends new changes to some neighbours, less often while there are
// many.
func (m *Detector) tellEagerly(now time.Time, d bbtview.Digest) []Action {
	if !m.eager || m.queue.long() && now.Sub(m.told) < ProbeInterval {
		return nil
	}
	m.eager = false
	m.told = now
	var actions []Action
	for _, id := range m.sample(eagerHosts, "") {
		actions = append(actions, m.ping(now, d, id))
	}
	return actions
}

// ping returns a Ping to the host. A suspect is told of the suspicion.
func (m *Detector) ping(now time.Time, d bbtview.Digest, id bbtfleet.HostID) Send {
	return m.pingFor(now, d, probe{target: id})
}

// pingFor returns a Ping for the probe.
func (m *Detector) pingFor(now time.Time, d bbtview.Digest, pr probe) Send {
	pr.sent = now
	seq := m.probes.add(pr)
	changes := m.changesFor(pr.target)
	return Send{To: pr.target, Message: Ping{Seq: seq, Incarnation: m.incarnation, Refutations: m.round, Digest: d, Changes: changes}}
}

// changesFor returns the changes for one message to the host, what is wrongly
// believed of it first.
func (m *Detector) changesFor(id bbtfleet.HostID) []Change {
	changes := m.queue.next()
	p := m.peers[id]
	if p == nil || p.state == Alive || p.state == Leaving {
		return m.remind(changes)
	}
	if len(changes) == MaxChanges {
		changes = changes[:MaxChanges-1]
	}
	return append(changes, p.change())
}

// remind fills an empty message with a host that is not alive, a different one
// each time, so that no host misses its state for good.
func (m *Detector) remind(changes []Change) []Change {
	if len(changes) > 0 {
		return changes
	}
	for range m.ring.points {
		m.reminded = (m.reminded + 1) % len(m.ring.points)
		p := m.peers[m.ring.points[m.reminded].id]
		if p != nil && p.state >= Leaving {
			return []Change{p.change()}
		}
	}
	return nil
}

// sample returns up to n neighbours other than not, in random order.
func (m *Detector) sample(n int, not bbtfleet.HostID) []bbtfleet.HostID {
	var out []bbtfleet.HostID
	for _, i := range m.rng.Perm(len(m.neighbours)) {
		if m.neighbours[i] != not && len(out) < n {
			out = append(out, m.neighbours[i])
		}
	}
	return out
}
