package bbtmember

import (
	"math/rand/v2"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtview"
)

// Periods of the Member.
const (
	TickInterval   = 200 * time.Millisecond // longest time between calls of Tick
	ProbeInterval  = time.Second            // between probes of one neighbour after another
	AckTimeout     = 500 * time.Millisecond // from a Ping to asking others to probe, from there to suspicion
	SuspectTimeout = 2 * time.Second        // from suspicion to Dead
	PauseGap       = time.Second            // gap between ticks that is taken for a pause
)

const (
	relayHosts    = 3  // hosts asked to probe for another
	eagerHosts    = 5  // hosts told of a change at once
	deadProbeRate = 10 // one probe in so many goes to a host believed dead
)

// Member keeps the states of the hosts of the host list. It is not safe for
// concurrent use.
type Member struct {
	self        bbtfleet.HostID
	incarnation uint64
	round       uint32
	state       State
	rng         *rand.Rand

	ring       ring
	peers      map[bbtfleet.HostID]*peer
	neighbours []bbtfleet.HostID

	probes probes
	queue  queue
	eager  bool      // a change has to be told at once
	told   time.Time // when changes were last told at once
	rounds int       // probes of neighbours so far
	next   int       // place in neighbours of the next probe

	lastTick  time.Time
	nextProbe time.Time
}

// New returns the Member of a host's process. A later process of the same host
// needs a larger incarnation.
func New(self bbtfleet.HostID, incarnation bbtfleet.Incarnation, rng *rand.Rand) *Member {
	return &Member{
		self:        self,
		incarnation: uint64(incarnation),
		rng:         rng,
		peers:       make(map[bbtfleet.HostID]*peer),
	}
}

// State returns what is believed of the host's process. A host that is not in
// the host list is Dead.
func (m *Member) State(id bbtfleet.HostID) State {
	if id == m.self {
		return m.state
	}
	if p, ok := m.peers[id]; ok {
		return p.state
	}
	return Dead
}

// Neighbours returns the hosts that the Member probes; they must not be
// changed.
func (m *Member) Neighbours() []bbtfleet.HostID { return m.neighbours }

// SetHosts gives the host list in force.
func (m *Member) SetHosts(_ time.Time, list bbtfleet.HostList) []Action {
	m.ring = newRing(list.Hosts())
	old := m.peers
	m.peers = make(map[bbtfleet.HostID]*peer, len(list.Hosts()))
	for _, h := range list.Hosts() {
		if h.ID() == m.self {
			continue
		}
		p, ok := old[h.ID()]
		if !ok {
			p = &peer{id: h.ID()}
		}
		m.peers[h.ID()] = p
	}
	return m.chooseNeighbours()
}

// Leave makes the host known as leaving. There is no way back but a new
// incarnation.
func (m *Member) Leave(now time.Time, d bbtview.Digest) []Action {
	m.state = Leaving
	m.announce(Change{Host: string(m.self), Incarnation: m.incarnation, Round: m.round, State: Leaving})
	return m.tellEagerly(now, d)
}

// chooseNeighbours computes the hosts to probe and reports them if they are
// others than before.
func (m *Member) chooseNeighbours() []Action {
	chosen := m.ring.neighbours(m.self, func(id bbtfleet.HostID) bool { return m.State(id) >= Leaving })
	if slices.Equal(chosen, m.neighbours) {
		return nil
	}
	m.neighbours = chosen
	return []Action{Neighbours{Hosts: chosen}}
}

// announce queues a change to be told at once.
func (m *Member) announce(c Change) {
	m.queue.add(c)
	m.eager = true
}
