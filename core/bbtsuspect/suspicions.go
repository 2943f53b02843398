package bbtsuspect

import (
	"slices"
	"time"
)

// The bounds of a host's suspicions.
const (
	MaxCrashes      = 2                // endpoints that one request may take down
	SuspectTTL      = 10 * time.Minute // from a crash to the end of its suspicion
	maxSuspicions   = 1024
	maxNoticesAPeer = 64
)

// Suspects are the requests known to have been in flight on endpoints that
// died. The zero value is empty and ready to use. It is not safe for
// concurrent use.
type Suspects struct {
	byPrint map[Fingerprint]*suspicion
	order   []Fingerprint // in the order of the first crash
}

// suspicion is what is known against one request.
type suspicion struct {
	crashes []Crash
	until   time.Time
}

// Len returns the number of suspected requests.
func (s *Suspects) Len() int { return len(s.byPrint) }

// Crashes returns how many endpoints the request is known to have taken down.
func (s *Suspects) Crashes(now time.Time, f Fingerprint) int {
	x := s.byPrint[f]
	if x == nil || !now.Before(x.until) {
		return 0
	}
	return len(x.crashes)
}

// DispatchMode returns how the request may be dispatched as far as the known
// crashes tell.
func (s *Suspects) DispatchMode(now time.Time, f Fingerprint) DispatchMode {
	switch n := s.Crashes(now, f); {
	case n >= MaxCrashes:
		return Banned
	case n > 0:
		return Isolated
	default:
		return Free
	}
}

// Add records that the request was in flight when an endpoint died.
func (s *Suspects) Add(now time.Time, f Fingerprint, c Crash) {
	s.add(now, f, c, SuspectTTL)
}

// Merge records a peer's notice. The remaining time never exceeds
// SuspicionTime.
func (s *Suspects) Merge(now time.Time, n Notice) {
	left := min(time.Duration(n.RemainingMS)*time.Millisecond, SuspectTTL)
	if left > 0 {
		s.add(now, n.Fingerprint, n.Crash, left)
	}
}

// add records a crash for a time.
func (s *Suspects) add(now time.Time, f Fingerprint, c Crash, left time.Duration) {
	s.Expire(now)
	if s.byPrint == nil {
		s.byPrint = make(map[Fingerprint]*suspicion)
	}
	x := s.byPrint[f]
	if x == nil {
		s.makeRoom()
		x = &suspicion{}
		s.byPrint[f] = x
		s.order = append(s.order, f)
	}
	if until := now.Add(left); until.After(x.until) {
		x.until = until
	}
	if len(x.crashes) < MaxCrashes && !slices.Contains(x.crashes, c) {
		x.crashes = append(x.crashes, c)
	}
}

// makeRoom forgets the oldest suspicion when the bound is reached.
func (s *Suspects) makeRoom() {
	if len(s.order) < maxSuspicions {
		return
	}
	delete(s.byPrint, s.order[0])
	s.order = s.order[1:]
}

// Clear ends the suspicion against a request that ran alone to its end.
func (s *Suspects) Clear(f Fingerprint) {
	if s.byPrint[f] == nil {
		return
	}
	delete(s.byPrint, f)
	s.order = slices.DeleteFunc(s.order, func(o Fingerprint) bool { return o == f })
}

// Notices returns the newest suspicions as messages for a peer.
func (s *Suspects) Notices(now time.Time) []Notice {
	s.Expire(now)
	var out []Notice
	for _, f := range slices.Backward(s.order) {
		x := s.byPrint[f]
		for _, c := range x.crashes {
			if len(out) == maxNoticesAPeer {
				return out
			}
			out = append(out, Notice{Fingerprint: f, Crash: c, RemainingMS: x.until.Sub(now).Milliseconds()})
		}
	}
	return out
}

// Expire forgets the suspicions whose time is over.
func (s *Suspects) Expire(now time.Time) {
	s.order = slices.DeleteFunc(s.order, func(f Fingerprint) bool {
		if now.Before(s.byPrint[f].until) {
			return false
		}
		delete(s.byPrint, f)
		return true
	})
}
