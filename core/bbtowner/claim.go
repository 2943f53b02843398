package bbtowner

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
)

// electorate is the electors of an endpoint. Of an earlier one, view is the one
// that replaced it.
type electorate struct {
	view  View
	hosts []bbtfleet.HostID
}

// promise is an elector's support for one host.
type promise struct {
	holder bbtfleet.HostID
	until  time.Time
}

// ballot is the last vote that another elector has granted.
type ballot struct {
	asked   time.Time    // when the question was sent
	earlier []electorate // that the elector reports and that have not moved on
	settled View         // up to which those reported have moved on
	isNew   bool         // the elector can't know of an earlier owner
}

// state is what an elector knows of one endpoint.
type state struct {
	id      bbtfleet.EndpointID
	now     electorate   // under the view in force
	earlier []electorate // that some host may still act on
	rank    int          // of the host itself, len(now.hosts) if it has none
	isNew   bool         // the host can't know of an earlier owner

	promise   promise
	preferred time.Time // when a host of better rank last asked
	epoch     uint32    // largest known

	wanted   bool // the host asks for support
	holding  bool
	acquired uint32 // epoch of the ownership
	ballots  map[bbtfleet.HostID]ballot
}

// rankOf returns the host's place among the electors, their number if none.
func (s *state) rankOf(id bbtfleet.HostID) int {
	if i := slices.Index(s.now.hosts, id); i >= 0 {
		return i
	}
	return len(s.now.hosts)
}

// elects reports whether the host is an elector now or under an earlier view.
func (s *state) elects(id bbtfleet.HostID) bool {
	if slices.Contains(s.now.hosts, id) {
		return true
	}
	return slices.ContainsFunc(s.earlier, func(e electorate) bool { return slices.Contains(e.hosts, id) })
}

// all returns the electorates whose majorities the host needs at now.
func (s *state) all() []electorate {
	out := append([]electorate{s.now}, s.earlier...)
	for _, id := range sortedHosts(s.ballots) {
		out = append(out, s.ballots[id].earlier...)
	}
	return out
}

// voters returns the hosts to ask, without self.
func (s *state) voters(self bbtfleet.HostID) []bbtfleet.HostID {
	var out []bbtfleet.HostID
	for _, e := range s.all() {
		for _, id := range e.hosts {
			if id != self && !slices.Contains(out, id) {
				out = append(out, id)
			}
		}
	}
	return out
}

// supported reports whether majorities of all electorates support self at now.
// Electors that can't know of an earlier owner only count as one if all of the
// electors are among them.
func (s *state) supported(now time.Time, self bbtfleet.HostID, listed func(bbtfleet.HostID) bool) bool {
	if s.promise.holder != self {
		return false
	}
	for _, e := range s.all() {
		t := s.count(now, e, self, listed)
		if t.size > 0 && 2*t.votes <= t.size {
			return false
		}
	}
	t := s.count(now, s.now, self, listed)
	return t.informed > 0 || t.votes == t.size
}

// tally is the votes of an electorate.
type tally struct {
	size     int // electors in the host list
	votes    int
	informed int // votes of electors that would know of an earlier owner
}

// count counts the votes for self at now.
func (s *state) count(now time.Time, e electorate, self bbtfleet.HostID, listed func(bbtfleet.HostID) bool) tally {
	var t tally
	for _, id := range e.hosts {
		if !listed(id) {
			continue
		}
		t.size++
		b := s.ballots[id]
		isNew := b.isNew
		if id == self {
			isNew = s.isNew
		} else if now.Sub(b.asked) >= LeaseFor {
			continue
		}
		t.votes++
		if !isNew {
			t.informed++
		}
	}
	return t
}

// abandon gives up the ownership or the attempt at it.
func (s *state) abandon() {
	s.wanted = false
	s.holding = false
	s.ballots = make(map[bbtfleet.HostID]ballot)
}
