package bbtmember

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtview"
)

// Receive handles a message from a host. The digest is of the receiver's own
// view.
func (d *Detector) Receive(now time.Time, from bbtfleet.HostID, msg Message, digest bbtview.Digest) []Action {
	switch msg := msg.(type) {
	case Ping:
		return d.receivePing(now, from, msg, digest)
	case Ack:
		return d.receiveAck(now, from, msg)
	case IndirectPing:
		return d.receiveIndirectPing(now, from, msg, digest)
	case IndirectAck:
		return d.receiveIndirectAck(msg)
	}
	return nil
}

// receivePing answers a Ping and applies the states that it carries.
func (d *Detector) receivePing(now time.Time, from bbtfleet.HostID, msg Ping, digest bbtview.Digest) []Action {
	actions := d.recordContact(now, from, msg.Incarnation, msg.Refutations)
	actions = append(actions, d.merge(now, msg.Changes)...)
	ack := Ack{Seq: msg.Seq, Incarnation: d.incarnation, Refutations: d.refutations, Digest: digest, Changes: d.changesFor(from)}
	return append(actions, Send{To: from, Message: ack}, DigestReceived{Host: from, Digest: msg.Digest})
}

// receiveAck completes a probe and applies the states that the answer carries.
func (d *Detector) receiveAck(now time.Time, from bbtfleet.HostID, msg Ack) []Action {
	actions := d.recordContact(now, from, msg.Incarnation, msg.Refutations)
	actions = append(actions, d.merge(now, msg.Changes)...)
	received := DigestReceived{Host: from, Digest: msg.Digest}
	pr, ok := d.probes.remove(msg.Seq)
	if !ok || pr.target != from {
		return append(actions, received)
	}
	received.PingSentAt = pr.sentAt
	d.recordAck(now, from, pr.sentAt, msg)
	if pr.requester != "" {
		actions = append(actions, Send{To: pr.requester, Message: IndirectAck{Seq: pr.requestSeq}})
	}
	return append(actions, received)
}

// recordAck records the answer to a Ping that was sent at sentAt.
func (d *Detector) recordAck(now time.Time, from bbtfleet.HostID, sentAt time.Time, msg Ack) {
	p := d.findPeer(from)
	if p == nil || msg.Incarnation < p.incarnation || !sentAt.After(p.contact.lastAckedPing) {
		return
	}
	if now.Sub(p.contact.lastAckedPing) >= MaxAnswerGap {
		p.contact.answeringSince = now
	}
	p.contact.lastAckedPing = sentAt
	p.contact.hostListRevision = bbtfleet.Revision(msg.Digest.Hosts)
}

// receiveIndirectPing probes the target on behalf of the requesting host.
func (d *Detector) receiveIndirectPing(now time.Time, from bbtfleet.HostID, msg IndirectPing, digest bbtview.Digest) []Action {
	target := bbtfleet.HostID(msg.Target)
	if d.peers[target] == nil {
		return nil
	}
	return []Action{d.pingFor(now, digest, probe{target: target, requester: from, requestSeq: msg.Seq})}
}

// receiveIndirectAck completes a probe that another host made for this one.
func (d *Detector) receiveIndirectAck(msg IndirectAck) []Action {
	d.probes.remove(msg.Seq)
	return nil
}

// recordContact records a message received directly from a host, which proves that
// its process runs.
func (d *Detector) recordContact(now time.Time, from bbtfleet.HostID, incarnation uint64, refutations uint32) []Action {
	p := d.findPeer(from)
	if p == nil {
		discovered := Change{Host: string(from), Incarnation: incarnation, Refutations: refutations, State: Alive}
		return []Action{HostDiscovered{Change: discovered, Direct: true}}
	}
	if incarnation >= p.incarnation {
		p.contact.lastHeard = now
	}
	return d.apply(now, Change{Host: string(from), Incarnation: incarnation, Refutations: refutations, State: Alive})
}

// merge applies changes reported by other hosts.
func (d *Detector) merge(now time.Time, changes []Change) []Action {
	var actions []Action
	for _, c := range changes {
		if bbtfleet.HostID(c.Host) == d.self {
			d.refute(c)
			continue
		}
		actions = append(actions, d.apply(now, c)...)
	}
	return actions
}

// refute announces a larger number of refutations if a change wrongly says that
// this process is suspect or dead.
func (d *Detector) refute(c Change) {
	if c.Incarnation != d.incarnation || c.Refutations < d.refutations || c.State == Alive || c.State == Leaving {
		return
	}
	d.refutations = c.Refutations + 1
	d.announce(Change{Host: string(d.self), Incarnation: d.incarnation, Refutations: d.refutations, State: d.state})
}

// apply records a change that is newer than the recorded state and queues it for
// forwarding. A host that is not in the host list is reported as discovered
// instead.
func (d *Detector) apply(now time.Time, c Change) []Action {
	p := d.peers[bbtfleet.HostID(c.Host)]
	if p == nil && c.State < Leaving && !d.outdated(c) {
		return []Action{HostDiscovered{Change: c}}
	}
	if p == nil || !p.replacedBy(c) {
		return nil
	}
	previous := p.state
	firstSeen := p.incarnation == 0 && previous == Alive && c.State == Alive
	p.incarnation, p.refutations, p.state = c.Incarnation, c.Refutations, c.State
	if firstSeen {
		return nil
	}
	d.queue.add(c)
	if c.State == Suspect {
		p.suspectedAt = now
	}
	if c.State == previous {
		return nil
	}
	d.urgent = d.urgent || c.State != Suspect
	actions := []Action{StateChanged{Host: p.id, State: c.State}}
	if previous >= Leaving || c.State >= Leaving {
		actions = append(actions, d.chooseNeighbours()...)
	}
	return actions
}

// outdated reports whether c is about a process that has left the host list, or
// about an earlier one of the same host.
func (d *Detector) outdated(c Change) bool {
	p := d.former[bbtfleet.HostID(c.Host)]
	return p != nil && c.Incarnation <= p.incarnation
}

// AddDiscovered applies the change of a HostDiscovered once the host is in the
// host list, and forwards it.
func (d *Detector) AddDiscovered(now time.Time, c Change) []Action {
	actions := d.apply(now, c)
	d.announce(c)
	return actions
}

// KnownStates returns the recorded state of every host of the host list that has
// a known incarnation, this host first.
func (d *Detector) KnownStates() []Change {
	out := []Change{{Host: string(d.self), Incarnation: d.incarnation, Refutations: d.refutations, State: d.state}}
	for _, pt := range d.ring.points {
		if p := d.peers[pt.id]; p != nil && p.incarnation != 0 {
			out = append(out, p.change())
		}
	}
	return out
}

// Merge applies the states that a peer has recorded, as returned by its
// KnownStates.
func (d *Detector) Merge(now time.Time, changes []Change) []Action { return d.merge(now, changes) }
