package bbtschedule

import "time"

const (
	maxCrashes      = 2 // incarnations that a request may crash before it is refused
	suspectLifetime = 2 * time.Minute
	maxSuspects     = 4096
)

// suspect is a request with the endpoints that it ran on when their connections
// were lost.
type suspect struct {
	endpoints   map[incarnation]bool
	lastCrashAt time.Time
}

// suspects detects requests that crash endpoints, by their fingerprints.
type suspects struct{ byFingerprint map[uint64]*suspect }

func newSuspects() suspects { return suspects{byFingerprint: make(map[uint64]*suspect)} }

// recordCrash records that an endpoint's connection was lost during a request.
func (t *suspects) recordCrash(now time.Time, fp uint64, endpoint incarnation) {
	if fp == 0 {
		return
	}
	s := t.byFingerprint[fp]
	if s == nil {
		t.trim(now)
		s = &suspect{endpoints: make(map[incarnation]bool)}
		t.byFingerprint[fp] = s
	}
	s.endpoints[endpoint] = true
	s.lastCrashAt = now
}

// banned reports whether a request is suspected to have crashed too many
// endpoints.
func (t *suspects) banned(now time.Time, fp uint64) bool {
	s := t.byFingerprint[fp]
	return s != nil && len(s.endpoints) >= maxCrashes && now.Sub(s.lastCrashAt) < suspectLifetime
}

// trim removes the suspects that are not banned once there are maxSuspects.
func (t *suspects) trim(now time.Time) {
	if len(t.byFingerprint) < maxSuspects {
		return
	}
	for fp, s := range t.byFingerprint {
		if now.Sub(s.lastCrashAt) >= suspectLifetime || len(s.endpoints) < maxCrashes {
			delete(t.byFingerprint, fp)
		}
	}
}
