package bbtlead

import "time"

const (
	// limitsBeyond is the part of the operators' tolerance by which an owner's
	// share of the limits is widened.
	limitsBeyond = 0.2
	// aloneShare is the part of all limits that a host uses that knows of no
	// other host.
	aloneShare = 0.125
)

// Share is what an owner may use of what the fleet may.
type Share struct {
	Limits     float64 // part of all limits
	Slots      float64 // part of the endpoints' slots
	Followers  int     // hosts that follow this one, itself included
	KnownHosts int     // hosts that may run, itself included
}

// Share returns what this host may use as an owner: the part that the hosts
// which follow it are of all that may run, widened by a part of the tolerance by
// which use may go beyond the limits. A host that follows another one may be
// asked by hosts that do not know of that one yet; its share is theirs then.
func (l *Election) Share(now time.Time, tolerance float64) Share {
	s := Share{Limits: aloneShare, Slots: aloneShare, KnownHosts: 1}
	owns := l.IsOwner()
	if owns {
		s.Followers = 1
	}
	for id := range l.seen {
		s.KnownHosts++
		fresh := owns && now.Sub(l.since) <= followGrace && l.runs(id) && !now.Before(l.avoid[id])
		if at, ok := l.followers[id]; fresh || ok && now.Sub(at) <= followedFor {
			s.Followers++
		}
	}
	if s.KnownHosts == 1 {
		return s
	}
	s.Followers = max(1, s.Followers) // one that asks is there at any moment
	s.Limits = float64(s.Followers) / float64(s.KnownHosts)
	s.Slots = s.Limits
	if s.Followers > 1 {
		s.Limits = min(1, s.Limits+tolerance*limitsBeyond)
		s.Slots = min(1, s.Slots+tolerance)
	}
	return s
}
