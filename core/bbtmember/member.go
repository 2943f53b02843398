package bbtmember

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtview"
)

// Periods of the Member.
const (
	TickInterval    = 200 * time.Millisecond // longest time between calls of Tick
	ProbeInterval   = time.Second            // between probes of one neighbour after another
	PartnerInterval = time.Second            // between probes of one partner
	MaxAnswerGap       = 3 * PartnerInterval    // from the sending of an answered Ping, after which answers begin anew
	AckTimeout      = 500 * time.Millisecond // from a Ping to asking others to probe, from there to suspicion
	SuspectTimeout  = 2 * time.Second        // from suspicion to Dead
	PauseThreshold        = time.Second            // gap between ticks that is taken for a pause
)

// formerFor is how long a host that has left the host list is remembered.
const formerFor = 10 * time.Minute

const (
	relayHosts    = 3  // hosts asked to probe for another
	eagerHosts    = 5  // hosts told of a change at once
	deadProbeRate = 10 // one probe in so many goes to a host believed dead
)

// Detector keeps the states of the hosts of the host list. It is not safe for
// concurrent use.
type Detector struct {
	self        bbtfleet.HostID
	incarnation uint64
	round       uint32
	state       State
	rng         *rand.Rand

	ring       ring
	peers      map[bbtfleet.HostID]*peer
	former     map[bbtfleet.HostID]*peer // that have left the host list
	neighbours []bbtfleet.HostID
	partners   []bbtfleet.HostID

	probes  probes
	queue   queue
	eager   bool      // a change has to be told at once
	told    time.Time // when changes were last told at once
	rounds  int       // probes of neighbours so far
	next    int       // place in neighbours of the next probe
	partner int       // place in partners of the next probe

	reminded int // place on the ring of the host that a message spoke of last

	lastTick    time.Time
	nextProbe   time.Time
	nextPartner time.Time
}

// New returns the Member of a host's process. A later process of the same host
// needs a larger incarnation.
func New(self bbtfleet.HostID, incarnation bbtfleet.Incarnation, rng *rand.Rand) *Detector {
	return &Detector{
		self:        self,
		incarnation: uint64(incarnation),
		rng:         rng,
		peers:       make(map[bbtfleet.HostID]*peer),
		former:      make(map[bbtfleet.HostID]*peer),
	}
}

// State returns what is believed of the host's process. A host that is not in
// the host list is Dead.
func (m *Detector) State(id bbtfleet.HostID) State {
	if id == m.self {
		return m.state
	}
	if p, ok := m.peers[id]; ok {
		return p.state
	}
	return Dead
}

// Incarnation returns the newest known process of the host, zero if none is.
func (m *Detector) Incarnation(id bbtfleet.HostID) bbtfleet.Incarnation {
	if id == m.self {
		return bbtfleet.Incarnation(m.incarnation)
	}
	if p := m.find(id); p != nil {
		return bbtfleet.Incarnation(p.incarnation)
	}
	return 0
}

// Contact returns what is known from the exchange with the host, also for a
// while after it has left the host list.
func (m *Detector) Contact(id bbtfleet.HostID) Contact {
	if p := m.find(id); p != nil {
		return p.contact
	}
	return Contact{}
}

// find returns what is known of a host that is or was in the host list, nil if
// nothing.
func (m *Detector) find(id bbtfleet.HostID) *peer {
	if p, ok := m.peers[id]; ok {
		return p
	}
	return m.former[id]
}

// SetPartners gives the hosts whose answers the host depends on, each of which
// is probed every PartnerInterval whatever is believed of it.
func (m *Detector) SetPartners(hosts []bbtfleet.HostID) { m.partners = slices.Clone(hosts) }

// Neighbours returns the hosts that the Member probes; they must not be
// changed.
func (m *Detector) Neighbours() []bbtfleet.HostID { return m.neighbours }

// SetHosts gives the host list in force. What is known of a host that leaves
// the list is kept for a while, so that old news of its former process do not
// count against a new one.
func (m *Detector) SetHosts(now time.Time, list bbtfleet.HostList) []Action {
	m.ring = newRing(list.Hosts())
	old := m.peers
	m.peers = make(map[bbtfleet.HostID]*peer, len(list.Hosts()))
	for _, h := range list.Hosts() {
		if h.ID() == m.self {
			continue
		}
		m.peers[h.ID()] = m.known(h.ID(), old)
	}
	for id, p := range old {
		if m.peers[id] == nil {
			p.unlisted = now
			m.former[id] = p
		}
	}
	maps.DeleteFunc(m.former, func(_ bbtfleet.HostID, p *peer) bool { return now.Sub(p.unlisted) > formerFor })
	return m.chooseNeighbours()
}

// known returns what is known of a listed host.
func (m *Detector) known(id bbtfleet.HostID, listed map[bbtfleet.HostID]*peer) *peer {
	if p, ok := listed[id]; ok {
		return p
	}
	if p, ok := m.former[id]; ok {
		delete(m.former, id)
		return p
	}
	return &peer{id: id}
}

// Leave makes the host known as leaving. There is no way back but a new
// incarnation.
func (m *Detector) Leave(now time.Time, d bbtview.Digest) []Action {
	m.state = Leaving
	m.announce(Change{Host: string(m.self), Incarnation: m.incarnation, Refutations: m.round, State: Leaving})
	return m.tellEagerly(now, d)
}

// chooseNeighbours computes the hosts to probe and reports them if they are
// others than before.
func (m *Detector) chooseNeighbours() []Action {
	chosen := m.ring.neighbours(m.self, func(id bbtfleet.HostID) bool { return m.State(id) >= Leaving })
	if slices.Equal(chosen, m.neighbours) {
		return nil
	}
	m.neighbours = chosen
	return []Action{NeighboursChanged{Hosts: chosen}}
}

// announce queues a change to be told at once.
func (m *Detector) announce(c Change) {
	m.queue.add(c)
	m.eager = true
}
