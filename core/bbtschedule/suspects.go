package bbtschedule

import "time"

const (
	mostCrashes  = 2 // endpoints that a request may take down before it is refused
	suspectLife  = 2 * time.Minute
	mostSuspects = 4096
)

// suspect is a request with the endpoints that broke off while they ran it.
type suspect struct {
	endpoints map[incarnation]bool
	last      time.Time
}

// suspects finds requests that crash endpoints, by their fingerprints.
type suspects struct{ byPrint map[uint64]*suspect }

func newSuspects() suspects { return suspects{byPrint: make(map[uint64]*suspect)} }

// crash records that an endpoint broke off a request.
func (t *suspects) crash(now time.Time, fp uint64, endpoint incarnation) {
	if fp == 0 {
		return
	}
	s := t.byPrint[fp]
	if s == nil {
		t.trim(now)
		s = &suspect{endpoints: make(map[incarnation]bool)}
		t.byPrint[fp] = s
	}
	s.endpoints[endpoint] = true
	s.last = now
}

// banned reports whether a request has taken down too many endpoints.
func (t *suspects) banned(now time.Time, fp uint64) bool {
	s := t.byPrint[fp]
	return s != nil && len(s.endpoints) >= mostCrashes && now.Sub(s.last) < suspectLife
}

// trim makes room for one more suspect.
func (t *suspects) trim(now time.Time) {
	if len(t.byPrint) < mostSuspects {
		return
	}
	for fp, s := range t.byPrint {
		if now.Sub(s.last) >= suspectLife || len(s.endpoints) < mostCrashes {
			delete(t.byPrint, fp)
		}
	}
}
