package bbtowner

import (
	"maps"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
)

// SetMap gives the placement in force, the first one when the host begins to
// serve: before, its view may be older than that of its former process. Electors that it replaces keep their say
// until they are known to have it too or have left the host list.
func (e *Elector) SetMap(now time.Time, m *Map) []Action {
	old := e.placing
	e.placing = m
	var actions []Action
	states := make(map[bbtfleet.EndpointID]*state)
	for _, ep := range m.Configuration().Endpoints() {
		s, ok := e.find(ep.ID())
		if !ok && !slices.Contains(m.Ranks(ep.ID()), e.self) {
			continue
		}
		if !ok {
			s = &state{id: ep.ID(), preferred: now.Add(AskInterval), isNew: old == nil, ballots: make(map[bbtfleet.HostID]ballot)}
		}
		actions = append(actions, e.move(s, old)...)
		if s.elects(e.self) {
			states[s.id] = s
		}
	}
	for _, s := range e.states {
		if states[s.id] == nil {
			actions = append(actions, e.retire(now, s, states)...)
		}
	}
	e.states = e.states[:0]
	for _, id := range slices.Sorted(maps.Keys(states)) {
		e.states = append(e.states, states[id])
	}
	e.forget()
	return actions
}

// move gives a state the electors of the placement in force, which replaces
// old.
func (e *Elector) move(s *state, old *Map) []Action {
	view := e.view()
	before := s.now.hosts
	if before == nil && old != nil && old.has(s.id) {
		before = old.Ranks(s.id)
	}
	ranks := e.placing.Ranks(s.id)
	if len(before) > 0 && !sameHosts(before, ranks) {
		s.earlier = append(s.earlier, electorate{view: view, hosts: before})
	}
	s.now = electorate{view: view, hosts: ranks}
	s.rank = s.rankOf(e.self)
	e.settle(s)
	if s.rank < len(ranks) || !s.wanted {
		return nil
	}
	return e.release(s)
}

// retire gives up an endpoint that the host is no elector of any more. The
// host's own promise is remembered until it has run out.
func (e *Elector) retire(now time.Time, s *state, states map[bbtfleet.EndpointID]*state) []Action {
	var actions []Action
	if s.wanted {
		actions = e.release(s)
	}
	if now.Before(s.promise.until) {
		s.now.hosts = nil
		s.rank = 0
		states[s.id] = s
	}
	return actions
}

// forget drops what is known of hosts that are not listed any more.
func (e *Elector) forget() {
	gone := func(id bbtfleet.HostID) bool { return !e.placing.listed(id) }
	maps.DeleteFunc(e.views, func(id bbtfleet.HostID, _ View) bool { return gone(id) })
	maps.DeleteFunc(e.asked, func(id bbtfleet.HostID, _ question) bool { return gone(id) })
	maps.DeleteFunc(e.heard, func(id bbtfleet.HostID, _ uint32) bool { return gone(id) })
}

// settle forgets the earlier electorates of which every host that is still
// listed is known to have moved on.
func (e *Elector) settle(s *state) {
	s.earlier = slices.DeleteFunc(s.earlier, e.settled)
	for id, b := range s.ballots {
		s.ballots[id] = e.settleBallot(b)
	}
}

// settleBallot does the same for what another elector reports. Once nothing is
// left of it, the elector can be told.
func (e *Elector) settleBallot(b ballot) ballot {
	var reported View
	for _, old := range b.earlier {
		reported = reported.join(old.view)
	}
	if len(b.earlier) == 0 {
		return b
	}
	b.earlier = slices.DeleteFunc(slices.Clone(b.earlier), e.settled)
	if len(b.earlier) == 0 {
		b.settled = reported
	}
	return b
}

// settled reports whether every host of an earlier electorate that is still
// listed is known to have moved on.
func (e *Elector) settled(old electorate) bool {
	for _, id := range old.hosts {
		if id != e.self && e.placing.listed(id) && !e.views[id].covers(old.view) {
			return false
		}
	}
	return true
}
