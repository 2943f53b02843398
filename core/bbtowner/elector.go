package bbtowner

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
)

// Periods of the Elector.
const (
	TickInterval = 200 * time.Millisecond  // longest time between calls of Tick
	AskInterval  = 1500 * time.Millisecond // longest time between questions to the same elector
	LeaseFor     = 3500 * time.Millisecond // for which a vote counts, from the sending of the question
	GrantFor     = time.Second             // longest life of what an owner grants
	PromiseFor   = 5 * time.Second         // for which an elector keeps to its vote, above LeaseFor + GrantFor
)

// Elector takes part in choosing the owners of the endpoints that its host is
// an elector of. It is not safe for concurrent use.
type Elector struct {
	self    bbtfleet.HostID
	rng     *rand.Rand
	placing *Map
	states  []*state // in order of the endpoints' names
	views   map[bbtfleet.HostID]View
	started time.Time
	leaving bool
	seq     uint32
	asked   map[bbtfleet.HostID]question
	heard   map[bbtfleet.HostID]uint32 // number of a host's last LeaseAsk
	next    time.Time                  // when electors are asked again
}

// question is the last LeaseAsk to a host.
type question struct {
	seq    uint32
	sent   time.Time
	claims []bbtfleet.EndpointID
}

// NewElector returns the Elector of a process that starts at now. It neither
// votes nor asks before the votes of the host's former process have run out.
func NewElector(self bbtfleet.HostID, now time.Time, rng *rand.Rand) *Elector {
	return &Elector{
		self:    self,
		rng:     rng,
		started: now,
		views:   make(map[bbtfleet.HostID]View),
		asked:   make(map[bbtfleet.HostID]question),
		heard:   make(map[bbtfleet.HostID]uint32),
	}
}

// Holds reports whether the host owns the endpoint at now. What it grants may
// live for at most GrantFor.
func (e *Elector) Holds(now time.Time, id bbtfleet.EndpointID) bool {
	s, ok := e.find(id)
	return ok && s.holding && s.supported(now, e.self, e.placing.listed)
}

// Fence returns the fence of the host's ownership of the endpoint and whether
// the host owns it at now.
func (e *Elector) Fence(now time.Time, id bbtfleet.EndpointID) (Fence, bool) {
	if !e.Holds(now, id) {
		return Fence{}, false
	}
	s, _ := e.find(id)
	return e.fence(s), true
}

// Holder returns the host that this one supports as the endpoint's owner at
// now, empty if none or if it is not an elector of the endpoint.
func (e *Elector) Holder(now time.Time, id bbtfleet.EndpointID) bbtfleet.HostID {
	s, ok := e.find(id)
	if !ok || !now.Before(s.promise.until) {
		return ""
	}
	return s.promise.holder
}

// Outranked takes an endpoint's answer that it knows a larger fencing number of
// the given epoch. The owner's next epoch is above it.
func (e *Elector) Outranked(id bbtfleet.EndpointID, epoch uint32) {
	s, ok := e.find(id)
	if !ok || !s.holding || epoch < s.acquired {
		return
	}
	s.acquired = epoch + 1
	s.epoch = max(s.epoch, s.acquired)
}

// release gives up the endpoint and tells its electors.
func (e *Elector) release(s *state) []Action {
	var actions []Action
	held := s.holding
	for _, id := range s.voters(e.self) {
		actions = append(actions, Send{To: id, Message: Release{Seq: e.seq, Endpoints: []string{string(s.id)}}})
	}
	s.abandon()
	if held {
		actions = append(actions, Lost{Endpoint: s.id})
	}
	return actions
}

// Leave gives up all endpoints for good.
func (e *Elector) Leave(now time.Time) []Action {
	e.leaving = true
	var actions []Action
	for _, s := range e.states {
		if s.wanted {
			actions = append(actions, e.release(s)...)
			s.promise.until = now.Add(GrantFor)
		}
	}
	return actions
}

// view returns the view in force.
func (e *Elector) view() View {
	return newView(e.placing.Configuration().Version().Revision(), e.placing.Hosts())
}

// fence returns the fence of the endpoint's ownership.
func (e *Elector) fence(s *state) Fence { return NewFence(e.view(), s.acquired, s.rank) }

// find returns the state of the endpoint.
func (e *Elector) find(id bbtfleet.EndpointID) (*state, bool) {
	i, ok := slices.BinarySearchFunc(e.states, id, func(s *state, id bbtfleet.EndpointID) int {
		return cmp.Compare(s.id, id)
	})
	if !ok {
		return nil, false
	}
	return e.states[i], true
}

// sameHosts reports whether two electorates have the same hosts.
func sameHosts(a, b []bbtfleet.HostID) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(id bbtfleet.HostID) bool { return !slices.Contains(b, id) })
}

// sortedHosts returns the keys of m in order.
func sortedHosts[V any](m map[bbtfleet.HostID]V) []bbtfleet.HostID {
	return slices.Sorted(maps.Keys(m))
}
