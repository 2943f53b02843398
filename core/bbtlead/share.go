package bbtlead

import "time"

const (
	// limitToleranceFraction is the fraction of the operators' tolerance that is
	// added to an owner's share of the limits. The share of the slots gets all of
	// it, since exceeding an endpoint's slots costs only a rejection, while exceeding
	// a limit breaks a guarantee.
	limitToleranceFraction = 0.2
	// isolatedShare is the fraction of each fleet-wide limit and of the endpoints'
	// slots that a host uses if it knows no other host.
	isolatedShare = 0.125
)

// Share is the share of the fleet's capacity that an owner may use.
type Share struct {
	Limits     float64 // fraction of each fleet-wide limit
	Slots      float64 // fraction of the endpoints' slots
	Followers  int     // hosts that follow this one, including itself if it is the owner; at least 1 if another host is known
	KnownHosts int     // hosts that may be running, including this one
}

// LostFraction returns which part of the hosts that were live lately is not live any
// longer, at least one host.
func (e *Election) LostFraction() float64 {
	known := len(e.lastSeen) + 1
	return float64(max(1, len(e.lastSeen)-len(e.livePeers))) / float64(known)
}

// Share returns the share that this host may use as an owner: its followers as a
// fraction of the hosts that may be running, plus the tolerance for exceeding the
// limits, of which Limits gets only limitToleranceFraction. A host that follows
// another owner may still get requests from hosts that do not know that owner yet;
// its share is then based on them.
func (e *Election) Share(now time.Time, tolerance float64) Share {
	s := Share{Limits: isolatedShare, Slots: isolatedShare, KnownHosts: 1}
	isOwner := e.IsOwner()
	if isOwner {
		s.Followers = 1
	}
	for id := range e.lastSeen {
		s.KnownHosts++
		assumed := isOwner && now.Sub(e.ownerSince) <= electionGrace && e.isLive(id) && !now.Before(e.eligibleAt[id])
		if at, ok := e.followedAt[id]; assumed || ok && now.Sub(at) <= followerTimeout {
			s.Followers++
		}
	}
	if s.KnownHosts == 1 {
		return s
	}
	s.Followers = max(1, s.Followers) // a non-owner uses its share only for requests of hosts that take it for the owner, so at least one counts
	s.Limits = float64(s.Followers) / float64(s.KnownHosts)
	s.Slots = s.Limits
	if s.Followers > 1 {
		s.Limits = min(1, s.Limits+tolerance*limitToleranceFraction)
		s.Slots = min(1, s.Slots+tolerance)
	}
	return s
}
