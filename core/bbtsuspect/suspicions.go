package bbtsuspect

import (
	"slices"
	"time"
)

// The limits of Suspects.
const (
	MaxCrashes  = 2                // endpoints that one request may crash
	SuspectTTL  = 10 * time.Minute // for which a request stays suspect after a crash
	maxSuspects = 1024
	maxNotices  = 64
)

// Suspects holds the requests that were in flight on endpoints when those
// crashed. The zero value is empty and ready to use. It is not safe for
// concurrent use.
type Suspects struct {
	byFingerprint map[Fingerprint]*suspect
	order         []Fingerprint // in the order of the first crash
}

// suspect holds the known crashes of one request.
type suspect struct {
	crashes []Crash
	expires time.Time
}

// Len returns the number of suspect requests.
func (s *Suspects) Len() int { return len(s.byFingerprint) }

// Crashes returns the known number of endpoint crashes with the request in
// flight.
func (s *Suspects) Crashes(now time.Time, f Fingerprint) int {
	entry := s.byFingerprint[f]
	if entry == nil || !now.Before(entry.expires) {
		return 0
	}
	return len(entry.crashes)
}

// DispatchMode returns how the request may be dispatched according to the
// crashes known here.
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

// Add records that the request was in flight on an endpoint when it crashed.
func (s *Suspects) Add(now time.Time, f Fingerprint, c Crash) {
	s.add(now, f, c, SuspectTTL)
}

// Merge records a notice from a peer. The remaining time is limited to
// SuspectTTL.
func (s *Suspects) Merge(now time.Time, n Notice) {
	ttl := min(time.Duration(n.RemainingMS)*time.Millisecond, SuspectTTL)
	if ttl > 0 {
		s.add(now, n.Fingerprint, n.Crash, ttl)
	}
}

// add records a crash that expires after ttl.
func (s *Suspects) add(now time.Time, f Fingerprint, c Crash, ttl time.Duration) {
	s.Expire(now)
	if s.byFingerprint == nil {
		s.byFingerprint = make(map[Fingerprint]*suspect)
	}
	entry := s.byFingerprint[f]
	if entry == nil {
		s.evictOldest()
		entry = &suspect{}
		s.byFingerprint[f] = entry
		s.order = append(s.order, f)
	}
	if expires := now.Add(ttl); expires.After(entry.expires) {
		entry.expires = expires
	}
	if len(entry.crashes) < MaxCrashes && !slices.Contains(entry.crashes, c) {
		entry.crashes = append(entry.crashes, c)
	}
}

// evictOldest removes the oldest suspect if the limit is reached.
func (s *Suspects) evictOldest() {
	if len(s.order) < maxSuspects {
		return
	}
	delete(s.byFingerprint, s.order[0])
	s.order = s.order[1:]
}

// Clear removes a request, which then is no longer suspect.
func (s *Suspects) Clear(f Fingerprint) {
	if s.byFingerprint[f] == nil {
		return
	}
	delete(s.byFingerprint, f)
	s.order = slices.DeleteFunc(s.order, func(o Fingerprint) bool { return o == f })
}

// Notices returns notices of the newest suspects, at most maxNotices.
func (s *Suspects) Notices(now time.Time) []Notice {
	s.Expire(now)
	var out []Notice
	for _, f := range slices.Backward(s.order) {
		entry := s.byFingerprint[f]
		for _, c := range entry.crashes {
			if len(out) == maxNotices {
				return out
			}
			out = append(out, Notice{Fingerprint: f, Crash: c, RemainingMS: entry.expires.Sub(now).Milliseconds()})
		}
	}
	return out
}

// Expire removes expired suspects.
func (s *Suspects) Expire(now time.Time) {
	s.order = slices.DeleteFunc(s.order, func(f Fingerprint) bool {
		if now.Before(s.byFingerprint[f].expires) {
			return false
		}
		delete(s.byFingerprint, f)
		return true
	})
}
