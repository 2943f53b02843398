package bbtmember

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtview"
)

// Intervals and timeouts of a Detector.
const (
	TickInterval    = 200 * time.Millisecond // maximum time between calls of Tick
	ProbeInterval   = time.Second            // between probes of neighbours, one at a time
	PartnerInterval = time.Second            // between probes of the same partner, see SetPartners
	MaxAnswerGap    = 3 * PartnerInterval    // from sending an answered Ping to the next answer, see Contact.AnsweringSince
	AckTimeout      = 500 * time.Millisecond // from a Ping to the indirect probe, and from that to Suspect
	SuspectTimeout  = 2 * time.Second        // from Suspect to Dead
	PauseThreshold  = time.Second            // time between ticks above which the process counts as paused
)

// formerRetention is how long the record of a host is kept after it has left the
// host list.
const formerRetention = 10 * time.Minute

const (
	indirectPingFanout = 3  // hosts asked to probe the target of an unanswered probe
	urgentFanout       = 5  // hosts that an urgent change is sent to at once
	deadProbePeriod    = 10 // one probe in this many goes to a dead host
)

// Detector is a failure detector for the hosts of the host list. It is not safe
// for concurrent use.
type Detector struct {
	self        bbtfleet.HostID
	incarnation uint64
	refutations uint32
	state       State
	rng         *rand.Rand

	ring       ring
	peers      map[bbtfleet.HostID]*peer
	former     map[bbtfleet.HostID]*peer // hosts that have left the host list
	neighbours []bbtfleet.HostID
	partners   []bbtfleet.HostID

	probes         probes
	queue          queue
	urgent         bool      // a queued change must be sent at once
	lastUrgentSend time.Time // when urgent changes were last sent
	probeCount     int       // probes by probeNeighbour so far
	neighbourIndex int       // index in neighbours of the last probe
	partnerIndex   int       // index in partners of the last probe

	reminderIndex int // index in ring.points of the host that addReminder added to a message last

	lastTick         time.Time
	nextProbe        time.Time
	nextPartnerProbe time.Time
}

// New returns the Detector of a host's process. Each process of the same host
// needs a larger incarnation than the one before.
func New(self bbtfleet.HostID, incarnation bbtfleet.Incarnation, rng *rand.Rand) *Detector {
	return &Detector{
		self:        self,
		incarnation: uint64(incarnation),
		rng:         rng,
		peers:       make(map[bbtfleet.HostID]*peer),
		former:      make(map[bbtfleet.HostID]*peer),
	}
}

// State returns the believed state of the host's process. A host that is not in
// the host list is Dead.
func (d *Detector) State(id bbtfleet.HostID) State {
	if id == d.self {
		return d.state
	}
	if p, ok := d.peers[id]; ok {
		return p.state
	}
	return Dead
}

// Incarnation returns the largest known incarnation of the host, zero if none is
// known.
func (d *Detector) Incarnation(id bbtfleet.HostID) bbtfleet.Incarnation {
	if id == d.self {
		return bbtfleet.Incarnation(d.incarnation)
	}
	if p := d.findPeer(id); p != nil {
		return bbtfleet.Incarnation(p.incarnation)
	}
	return 0
}

// Contact returns the record of the message exchange with the host. It is kept
// for a while after the host has left the host list.
func (d *Detector) Contact(id bbtfleet.HostID) Contact {
	if p := d.findPeer(id); p != nil {
		return p.contact
	}
	return Contact{}
}

// findPeer returns the record of a host that is or was in the host list, nil if
// there is none.
func (d *Detector) findPeer(id bbtfleet.HostID) *peer {
	if p, ok := d.peers[id]; ok {
		return p
	}
	return d.former[id]
}

// SetPartners sets the partners, the hosts that are probed every PartnerInterval
// regardless of their state. In package bbtdaemon they are the hosts whose answers
// this host's rights to endpoints depend on, see bbtowner.Rights.ProbeTargets; in
// package bbtedge they are the neighbours.
func (d *Detector) SetPartners(hosts []bbtfleet.HostID) { d.partners = slices.Clone(hosts) }

// Neighbours returns the hosts that the Detector probes. The slice must not be
// modified.
func (d *Detector) Neighbours() []bbtfleet.HostID { return d.neighbours }

// SetHosts sets the host list. The record of a host that leaves the list is kept
// for a while, so that outdated changes of its former process are not applied to
// a new one.
func (d *Detector) SetHosts(now time.Time, list bbtfleet.HostList) []Action {
	d.ring = newRing(list.Hosts())
	old := d.peers
	d.peers = make(map[bbtfleet.HostID]*peer, len(list.Hosts()))
	for _, h := range list.Hosts() {
		if h.ID() == d.self {
			continue
		}
		d.peers[h.ID()] = d.findOrCreatePeer(h.ID(), old)
	}
	for id, p := range old {
		if d.peers[id] == nil {
			p.unlistedAt = now
			d.former[id] = p
		}
	}
	maps.DeleteFunc(d.former, func(_ bbtfleet.HostID, p *peer) bool { return now.Sub(p.unlistedAt) > formerRetention })
	return d.chooseNeighbours()
}

// findOrCreatePeer returns the record of a host of the list, a new one if none is
// kept.
func (d *Detector) findOrCreatePeer(id bbtfleet.HostID, listed map[bbtfleet.HostID]*peer) *peer {
	if p, ok := listed[id]; ok {
		return p
	}
	if p, ok := d.former[id]; ok {
		delete(d.former, id)
		return p
	}
	return &peer{id: id}
}

// Leave announces that this host is leaving. Only a new incarnation can become
// alive again.
func (d *Detector) Leave(now time.Time, digest bbtview.Digest) []Action {
	d.state = Leaving
	d.announce(Change{Host: string(d.self), Incarnation: d.incarnation, Refutations: d.refutations, State: Leaving})
	return d.sendUrgentChanges(now, digest)
}

// chooseNeighbours computes the hosts to probe and reports them if they have
// changed.
func (d *Detector) chooseNeighbours() []Action {
	chosen := d.ring.neighbours(d.self, func(id bbtfleet.HostID) bool { return d.State(id) >= Leaving })
	if slices.Equal(chosen, d.neighbours) {
		return nil
	}
	d.neighbours = chosen
	return []Action{NeighboursChanged{Hosts: chosen}}
}

// announce queues a change for immediate sending.
func (d *Detector) announce(c Change) {
	d.queue.add(c)
	d.urgent = true
}
