package bbtmember

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtview"
)

// Receive handles a message from a host; d is the host's own view.
func (m *Detector) Receive(now time.Time, from bbtfleet.HostID, msg Message, d bbtview.Digest) []Action {
	switch msg := msg.(type) {
	case Ping:
		return m.receivePing(now, from, msg, d)
	case Ack:
		return m.receiveAck(now, from, msg)
	case IndirectPing:
		return m.receiveRelay(now, from, msg, d)
	case IndirectAck:
		return m.receiveRelayed(msg)
	}
	return nil
}

// receivePing answers a Ping and learns from it.
func (m *Detector) receivePing(now time.Time, from bbtfleet.HostID, msg Ping, d bbtview.Digest) []Action {
	actions := m.heard(now, from, msg.Incarnation, msg.Refutations)
	actions = append(actions, m.merge(now, msg.Changes)...)
	ack := Ack{Seq: msg.Seq, Incarnation: m.incarnation, Refutations: m.round, Digest: d, Changes: m.changesFor(from)}
	return append(actions, Send{To: from, Message: ack}, DigestReceived{Host: from, Digest: msg.Digest})
}

// receiveAck closes a probe and learns from the answer.
func (m *Detector) receiveAck(now time.Time, from bbtfleet.HostID, msg Ack) []Action {
	actions := m.heard(now, from, msg.Incarnation, msg.Refutations)
	actions = append(actions, m.merge(now, msg.Changes)...)
	seen := DigestReceived{Host: from, Digest: msg.Digest}
	pr, ok := m.probes.take(msg.Seq)
	if !ok || pr.target != from {
		return append(actions, seen)
	}
	seen.PingSentAt = pr.sent
	m.answered(now, from, pr.sent, msg)
	if pr.asker != "" {
		actions = append(actions, Send{To: pr.asker, Message: IndirectAck{Seq: pr.askSeq}})
	}
	return append(actions, seen)
}

// answered records the answer to a Ping sent at the given time.
func (m *Detector) answered(now time.Time, from bbtfleet.HostID, sent time.Time, msg Ack) {
	p := m.find(from)
	if p == nil || msg.Incarnation < p.incarnation || !sent.After(p.contact.acked) {
		return
	}
	if now.Sub(p.contact.acked) >= MaxAnswerGap {
		p.contact.since = now
	}
	p.contact.acked = sent
	p.contact.list = bbtfleet.Revision(msg.Digest.Hosts)
}

// receiveRelay probes the target for the host that asks.
func (m *Detector) receiveRelay(now time.Time, from bbtfleet.HostID, msg IndirectPing, d bbtview.Digest) []Action {
	target := bbtfleet.HostID(msg.Target)
	if m.peers[target] == nil {
		return nil
	}
	return []Action{m.pingFor(now, d, probe{target: target, asker: from, askSeq: msg.Seq})}
}

// receiveRelayed closes a probe that another host has made.
func (m *Detector) receiveRelayed(msg IndirectAck) []Action {
	m.probes.take(msg.Seq)
	return nil
}

// heard records a message that came straight from the host, which proves that
// its process runs.
func (m *Detector) heard(now time.Time, from bbtfleet.HostID, incarnation uint64, round uint32) []Action {
	p := m.find(from)
	if p == nil {
		met := Change{Host: string(from), Incarnation: incarnation, Refutations: round, State: Alive}
		return []Action{HostDiscovered{Change: met, Direct: true}}
	}
	if incarnation >= p.incarnation {
		p.contact.heard = now
	}
	return m.apply(now, Change{Host: string(from), Incarnation: incarnation, Refutations: round, State: Alive})
}

// merge applies changes that others report.
func (m *Detector) merge(now time.Time, changes []Change) []Action {
	var actions []Action
	for _, c := range changes {
		if bbtfleet.HostID(c.Host) == m.self {
			m.refute(c)
			continue
		}
		actions = append(actions, m.apply(now, c)...)
	}
	return actions
}

// refute raises the round when others wrongly believe that this process is not
// alive.
func (m *Detector) refute(c Change) {
	if c.Incarnation != m.incarnation || c.Refutations < m.round || c.State == Alive || c.State == Leaving {
		return
	}
	m.round = c.Refutations + 1
	m.announce(Change{Host: string(m.self), Incarnation: m.incarnation, Refutations: m.round, State: m.state})
}

// apply takes a newer change and sends it on.
func (m *Detector) apply(now time.Time, c Change) []Action {
	p := m.peers[bbtfleet.HostID(c.Host)]
	if p == nil && c.State < Leaving && !m.outdated(c) {
		return []Action{HostDiscovered{Change: c}}
	}
	if p == nil || !p.replacedBy(c) {
		return nil
	}
	before := p.state
	first := p.incarnation == 0 && before == Alive && c.State == Alive
	p.incarnation, p.round, p.state = c.Incarnation, c.Refutations, c.State
	if first {
		return nil
	}
	m.queue.add(c)
	if c.State == Suspect {
		p.suspected = now
	}
	if c.State == before {
		return nil
	}
	m.eager = m.eager || c.State != Suspect
	actions := []Action{StateChanged{Host: p.id, State: c.State}}
	if before >= Leaving || c.State >= Leaving {
		actions = append(actions, m.chooseNeighbours()...)
	}
	return actions
}

// outdated reports whether c is of a process that has left the host list, or of
// one before it.
func (m *Detector) outdated(c Change) bool {
	p := m.former[bbtfleet.HostID(c.Host)]
	return p != nil && c.Incarnation <= p.incarnation
}

// AddDiscovered takes in what a Met says, once the host is in the host list, and
// passes it on.
func (m *Detector) AddDiscovered(now time.Time, c Change) []Action {
	actions := m.apply(now, c)
	m.announce(c)
	return actions
}

// KnownStates returns what is known of every host of the host list.
func (m *Detector) KnownStates() []Change {
	out := []Change{{Host: string(m.self), Incarnation: m.incarnation, Refutations: m.round, State: m.state}}
	for _, pt := range m.ring.points {
		if p := m.peers[pt.id]; p != nil && p.incarnation != 0 {
			out = append(out, p.change())
		}
	}
	return out
}

// Merge takes in what a peer knows of the hosts.
func (m *Detector) Merge(now time.Time, changes []Change) []Action { return m.merge(now, changes) }
