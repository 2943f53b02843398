// Package bbtlead elects the owner, the host that schedules the requests of the
// whole fleet, as one host sees it. It also decides which share of the fleet's
// limits an owner may use and which hosts read the configuration and the endpoints
// from the platform.
package bbtlead

import (
	"cmp"
	"time"

	"bluebelltray/core/bbtfleet"
)

const (
	// lostHostTimeout is how long an unreachable host counts as one that may
	// still serve requests on its side of a network partition.
	lostHostTimeout = 20 * time.Second
	// followerTimeout is how long a host counts as a follower after its last
	// message to this host as its owner.
	followerTimeout = 1500 * time.Millisecond
	// electionGrace is the time that hosts have to follow a new owner. Until then,
	// all live hosts that are not excluded from election count as followers.
	electionGrace = 700 * time.Millisecond
	// exclusion is how long an unresponsive owner is excluded from election.
	exclusion = 1500 * time.Millisecond
)

// Host is a running host with an incarnation from NewIncarnation. Older processes
// have smaller incarnations.
type Host struct {
	ID          bbtfleet.HostID
	Incarnation uint64
}

// compare orders candidates for owner: first by larger CPU class, since an owner
// works for the whole fleet, then by longer run time.
func (h Host) compare(o Host) int {
	return cmp.Or(
		cmp.Compare(o.Incarnation&cpuClassMask, h.Incarnation&cpuClassMask),
		cmp.Compare(h.Incarnation, o.Incarnation),
		cmp.Compare(h.ID, o.ID))
}

// Election is one host's view of which host owns the services. It is not safe for
// concurrent use.
type Election struct {
	self       Host
	owner      Host
	ownerSince time.Time                     // when this host last became the owner
	livePeers  []Host                        // other hosts that run and accept requests
	lastSeen   map[bbtfleet.HostID]time.Time // when each host was last live
	eligibleAt map[bbtfleet.HostID]time.Time // when each excluded owner may be elected again
	followedAt map[bbtfleet.HostID]time.Time // when each follower last sent a message to this host as its owner
}

// New returns the election state of a host that knows no other host.
func New(self Host) *Election {
	return &Election{
		self:       self,
		lastSeen:   make(map[bbtfleet.HostID]time.Time),
		eligibleAt: make(map[bbtfleet.HostID]time.Time),
		followedAt: make(map[bbtfleet.HostID]time.Time),
	}
}

// Self returns the host whose view this is.
func (e *Election) Self() Host { return e.self }

// SetLivePeers sets which other hosts run and accept requests. A host that has not
// been among them for longer than lostHostTimeout is forgotten.
func (e *Election) SetLivePeers(now time.Time, peers []Host) {
	e.livePeers = peers
	for _, h := range peers {
		e.lastSeen[h.ID] = now
	}
	for id, at := range e.lastSeen {
		if now.Sub(at) > lostHostTimeout {
			delete(e.lastSeen, id)
			delete(e.followedAt, id)
			delete(e.eligibleAt, id)
		}
	}
}

// Exclude keeps an unresponsive owner from being elected for the exclusion time.
func (e *Election) Exclude(now time.Time, id bbtfleet.HostID) { e.eligibleAt[id] = now.Add(exclusion) }

// IsExcluded reports whether a host is excluded from election.
func (e *Election) IsExcluded(now time.Time, id bbtfleet.HostID) bool {
	return now.Before(e.eligibleAt[id])
}

// RecordFollower records that a host follows this one as the owner.
func (e *Election) RecordFollower(now time.Time, host bbtfleet.HostID) { e.followedAt[host] = now }

// Owner returns the elected owner, the zero Host if there is none.
func (e *Election) Owner() Host { return e.owner }

// IsOwner reports whether this host is the owner.
func (e *Election) IsOwner() bool { return e.owner.ID == e.self.ID }

// Elect elects the best candidate among the live hosts that are not excluded. If
// leaving is set, this host becomes the owner only if there is no other candidate.
// Elect reports whether the owner is a different host than before.
func (e *Election) Elect(now time.Time, leaving bool) bool {
	best := e.self
	for _, h := range e.livePeers {
		if !now.Before(e.eligibleAt[h.ID]) && (leaving && best.ID == e.self.ID || h.compare(best) < 0) {
			best = h
		}
	}
	previous := e.owner
	e.owner = best
	if best.ID == previous.ID {
		return false
	}
	if e.IsOwner() {
		e.ownerSince = now
	}
	return true
}

// Standby returns the host that is elected if the owner fails, the zero Host if
// there is none.
func (e *Election) Standby(now time.Time) Host {
	var best Host
	for _, h := range append([]Host{e.self}, e.livePeers...) {
		if h.ID != e.owner.ID && !now.Before(e.eligibleAt[h.ID]) && (best.ID == "" || h.compare(best) < 0) {
			best = h
		}
	}
	return best
}

// isLive reports whether a host is among the live peers.
func (e *Election) isLive(id bbtfleet.HostID) bool {
	for _, h := range e.livePeers {
		if h.ID == id {
			return true
		}
	}
	return false
}
