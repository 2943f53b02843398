package bbtmember

import (
	"maps"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtview"
)

// Tick sends probes and handles timeouts that are due at now. It must be called
// every TickInterval. The digest is of the host's own view.
func (d *Detector) Tick(now time.Time, digest bbtview.Digest) []Action {
	gap := now.Sub(d.lastTick)
	first := d.lastTick.IsZero()
	d.lastTick = now
	if !first && gap > PauseThreshold {
		d.resetTimeouts(now)
		return []Action{Paused{Gap: gap}}
	}
	actions := d.expireProbes(now, digest)
	actions = append(actions, d.expireSuspects(now)...)
	actions = append(actions, d.probePartners(now, digest)...)
	actions = append(actions, d.probeNeighbour(now, digest)...)
	return append(actions, d.sendUrgentChanges(now, digest)...)
}

// resetTimeouts discards the unanswered probes and restarts the suspicion
// timeouts, because answers may have been missed while the local process did not
// run.
func (d *Detector) resetTimeouts(now time.Time) {
	d.probes.clear()
	for _, p := range d.peers {
		p.suspectedAt = now
	}
}

// expireProbes starts an indirect probe for each probe that has timed out, and
// marks the targets suspect whose indirect probe has timed out too.
func (d *Detector) expireProbes(now time.Time, digest bbtview.Digest) []Action {
	var actions []Action
	for _, pr := range d.probes.expire(now.Add(-AckTimeout)) {
		if pr.requester != "" || d.peers[pr.target] == nil {
			continue
		}
		if !pr.indirect {
			actions = append(actions, d.pingIndirectly(now, pr)...)
			continue
		}
		actions = append(actions, d.markSuspect(now, digest, pr.target)...)
	}
	return actions
}

// pingIndirectly asks some neighbours to probe the target of an unanswered
// probe.
func (d *Detector) pingIndirectly(now time.Time, pr probe) []Action {
	seq := d.probes.add(probe{target: pr.target, sentAt: now, indirect: true})
	var actions []Action
	for _, id := range d.sample(indirectPingFanout, pr.target) {
		actions = append(actions, Send{To: id, Message: IndirectPing{Seq: seq, Target: string(pr.target)}})
	}
	return actions
}

// markSuspect marks the host as suspect and sends it a Ping that says so, so
// that it can refute the suspicion.
func (d *Detector) markSuspect(now time.Time, digest bbtview.Digest, id bbtfleet.HostID) []Action {
	p := d.peers[id]
	if p.state != Alive {
		return nil
	}
	p.state = Suspect
	p.suspectedAt = now
	return []Action{StateChanged{Host: id, State: Suspect}, d.ping(now, digest, id)}
}

// expireSuspects marks the suspect hosts dead that have not refuted the
// suspicion within SuspectTimeout.
func (d *Detector) expireSuspects(now time.Time) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(d.peers)) {
		p := d.peers[id]
		if p.state != Suspect || now.Sub(p.suspectedAt) < SuspectTimeout {
			continue
		}
		p.state = Dead
		d.announce(p.change())
		actions = append(actions, StateChanged{Host: id, State: Dead})
	}
	if len(actions) > 0 {
		actions = append(actions, d.chooseNeighbours()...)
	}
	return actions
}

// probePartners probes the partners in turn, each once every PartnerInterval.
func (d *Detector) probePartners(now time.Time, digest bbtview.Digest) []Action {
	if len(d.partners) == 0 {
		return nil
	}
	step := PartnerInterval / time.Duration(len(d.partners))
	if now.Sub(d.nextPartnerProbe) > PartnerInterval {
		d.nextPartnerProbe = now
	}
	var actions []Action
	for !now.Before(d.nextPartnerProbe) {
		d.nextPartnerProbe = d.nextPartnerProbe.Add(step)
		d.partnerIndex = (d.partnerIndex + 1) % len(d.partners)
		if id := d.partners[d.partnerIndex]; d.findPeer(id) != nil {
			actions = append(actions, d.ping(now, digest, id))
		}
	}
	return actions
}

// probeNeighbour probes the next neighbour, or every deadProbePeriod-th time a
// random dead host.
func (d *Detector) probeNeighbour(now time.Time, digest bbtview.Digest) []Action {
	if d.nextProbe.IsZero() {
		d.nextProbe = now.Add(time.Duration(d.rng.Int64N(int64(ProbeInterval))))
	}
	if now.Before(d.nextProbe) {
		return nil
	}
	d.nextProbe = now.Add(ProbeInterval)
	d.probeCount++
	if d.probeCount%deadProbePeriod == 0 {
		if id, ok := d.randomDead(); ok {
			return []Action{d.ping(now, digest, id)}
		}
	}
	if len(d.neighbours) == 0 {
		return nil
	}
	d.neighbourIndex = (d.neighbourIndex + 1) % len(d.neighbours)
	return []Action{d.ping(now, digest, d.neighbours[d.neighbourIndex])}
}

// randomDead returns a random dead host of the host list.
func (d *Detector) randomDead() (bbtfleet.HostID, bool) {
	var dead []bbtfleet.HostID
	for _, pt := range d.ring.points {
		if p := d.peers[pt.id]; p != nil && p.state == Dead {
			dead = append(dead, pt.id)
		}
	}
	if len(dead) == 0 {
		return "", false
	}
	return dead[d.rng.IntN(len(dead))], true
}

// sendUrgentChanges sends urgent changes to some neighbours: at once, or no more
// often than every ProbeInterval while they do not fit into one message.
func (d *Detector) sendUrgentChanges(now time.Time, digest bbtview.Digest) []Action {
	if !d.urgent || d.queue.exceedsMessage() && now.Sub(d.lastUrgentSend) < ProbeInterval {
		return nil
	}
	d.urgent = false
	d.lastUrgentSend = now
	var actions []Action
	for _, id := range d.sample(urgentFanout, "") {
		actions = append(actions, d.ping(now, digest, id))
	}
	return actions
}

// ping returns a Ping to the host.
func (d *Detector) ping(now time.Time, digest bbtview.Digest, id bbtfleet.HostID) Send {
	return d.pingFor(now, digest, probe{target: id})
}

// pingFor returns a Ping for the probe and records the probe.
func (d *Detector) pingFor(now time.Time, digest bbtview.Digest, pr probe) Send {
	pr.sentAt = now
	seq := d.probes.add(pr)
	changes := d.changesFor(pr.target)
	return Send{To: pr.target, Message: Ping{Seq: seq, Incarnation: d.incarnation, Refutations: d.refutations, Digest: digest, Changes: changes}}
}

// changesFor returns the changes for one message to the host. They include the
// recorded state of that host if it is suspect or dead, so that it can refute
// it.
func (d *Detector) changesFor(id bbtfleet.HostID) []Change {
	changes := d.queue.nextBatch()
	p := d.peers[id]
	if p == nil || p.state == Alive || p.state == Leaving {
		return d.addReminder(changes)
	}
	if len(changes) == MaxChanges {
		changes = changes[:MaxChanges-1]
	}
	return append(changes, p.change())
}

// addReminder returns the changes to send or, if there are none, the state of one
// leaving or dead host, a different one each time, so that a host which missed a
// change still gets it later.
func (d *Detector) addReminder(changes []Change) []Change {
	if len(changes) > 0 {
		return changes
	}
	for range d.ring.points {
		d.reminderIndex = (d.reminderIndex + 1) % len(d.ring.points)
		p := d.peers[d.ring.points[d.reminderIndex].id]
		if p != nil && p.state >= Leaving {
			return []Change{p.change()}
		}
	}
	return nil
}

// sample returns up to n neighbours except exclude, in random order.
func (d *Detector) sample(n int, exclude bbtfleet.HostID) []bbtfleet.HostID {
	var out []bbtfleet.HostID
	for _, i := range d.rng.Perm(len(d.neighbours)) {
		if d.neighbours[i] != exclude && len(out) < n {
			out = append(out, d.neighbours[i])
		}
	}
	return out
}
