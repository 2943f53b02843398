// Package bbtlead decides which host owns the services as one host sees it,
// which part of all limits it may use then, and which hosts read the platform.
package bbtlead

import (
	"cmp"
	"time"

	"bluebelltray/core/bbtfleet"
)

const (
	// mayRunFor is how long a host that is no longer heard counts as one that
	// may still serve, cut off from the others.
	mayRunFor = 20 * time.Second
	// followedFor is how long a host counts as a follower after its last sign.
	followedFor = 1500 * time.Millisecond
	// followGrace is the time that hosts have to follow a new owner; until then
	// those that are up count as followers.
	followGrace = 700 * time.Millisecond
	// avoidTime is how long a silent owner is passed over.
	avoidTime = 1500 * time.Millisecond
)

// Host is a host that runs, with its incarnation as NewIncarnation makes it: the
// smaller, the longer ago its process began.
type Host struct {
	ID          bbtfleet.HostID
	Incarnation uint64
}

// compare orders hosts as owners: those with more of a processor first, since an
// owner works for the whole fleet, then those that have run longest.
func (h Host) compare(o Host) int {
	return cmp.Or(
		cmp.Compare(o.Incarnation&strengthMask, h.Incarnation&strengthMask),
		cmp.Compare(h.Incarnation, o.Incarnation),
		cmp.Compare(h.ID, o.ID))
}

// Election is one host's view of who owns the services. It is not safe for
// concurrent use.
type Election struct {
	self      Host
	owner     Host
	since     time.Time // when this host became the owner last
	up        []Host    // other hosts that run and take requests
	seen      map[bbtfleet.HostID]time.Time
	avoid     map[bbtfleet.HostID]time.Time // owners that were silent, until when
	followers map[bbtfleet.HostID]time.Time
}

// New returns the view of a host that knows of no other one.
func New(self Host) *Election {
	return &Election{
		self:      self,
		seen:      make(map[bbtfleet.HostID]time.Time),
		avoid:     make(map[bbtfleet.HostID]time.Time),
		followers: make(map[bbtfleet.HostID]time.Time),
	}
}

// Self returns this host.
func (l *Election) Self() Host { return l.self }

// SetLivePeers sets which other hosts run and take requests.
func (l *Election) SetLivePeers(now time.Time, up []Host) {
	l.up = up
	for _, h := range up {
		l.seen[h.ID] = now
	}
	for id, at := range l.seen {
		if now.Sub(at) > mayRunFor {
			delete(l.seen, id)
			delete(l.followers, id)
			delete(l.avoid, id)
		}
	}
}

// MarkUnresponsive passes an owner over for a while that did not answer.
func (l *Election) MarkUnresponsive(now time.Time, owner bbtfleet.HostID) {
	l.avoid[owner] = now.Add(avoidTime)
}

// RecordFollower records that a host takes this one for the owner.
func (l *Election) RecordFollower(now time.Time, host bbtfleet.HostID) { l.followers[host] = now }

// Owner returns the owner that was chosen last, the zero Host if none was.
func (l *Election) Owner() Host { return l.owner }

// IsOwner reports whether this host is the owner.
func (l *Election) IsOwner() bool { return l.owner.ID == l.self.ID }

// Elect chooses the owner: the first of the hosts that are up and answer. One
// that leaves owns only if nobody else can. It reports whether the owner is
// another host than before.
func (l *Election) Elect(now time.Time, leaving bool) bool {
	best := l.self
	for _, h := range l.up {
		if !now.Before(l.avoid[h.ID]) && (leaving && best.ID == l.self.ID || h.compare(best) < 0) {
			best = h
		}
	}
	before := l.owner
	l.owner = best
	if best.ID == before.ID {
		return false
	}
	if l.IsOwner() {
		l.since = now
	}
	return true
}

// runs reports whether a host is up.
func (l *Election) runs(id bbtfleet.HostID) bool {
	for _, h := range l.up {
		if h.ID == id {
			return true
		}
	}
	return false
}
