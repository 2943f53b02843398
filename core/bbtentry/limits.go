package bbtentry

import (
	"maps"
	"slices"
	"time"

	"bluebelltray/core/bbtschedule"
)

const (
	maxLimits = 4096 // endpoints whose limits a host remembers
	// limitRetention is how long the limit of an endpoint is remembered that is not
	// listed, since its process may be listed again.
	limitRetention = 10 * time.Minute
)

// limits holds what endpoints stated in their latest answers to this host, for the
// next owner. Endpoints that never stated a limit are left out.
type limits struct{ byEndpoint map[string]statedAt }

// statedAt is what an incarnation of an endpoint stated at a time.
type statedAt struct {
	incarnation bbtschedule.Incarnation
	limit       bbtschedule.StatedLimit
	at          time.Time
	listedAt    time.Time // when it was last listed
}

func newLimits() limits { return limits{byEndpoint: make(map[string]statedAt)} }

// record records what an incarnation of an endpoint states in an answer.
func (l *limits) record(now time.Time, i bbtschedule.Incarnation, limit bbtschedule.StatedLimit) {
	if !limit.Answered {
		return
	}
	known, ok := l.byEndpoint[i.Endpoint]
	switch {
	case ok && known.incarnation.Succeeds(i):
		return
	case !ok && (!limit.Limited || len(l.byEndpoint) >= maxLimits):
		return
	}
	l.byEndpoint[i.Endpoint] = statedAt{i, limit, now, now}
}

// keep forgets the endpoints that have not been listed for long.
func (l *limits) keep(now time.Time, listed func(endpoint string) bool) {
	for id, s := range l.byEndpoint {
		switch {
		case listed(id):
			s.listedAt = now
			l.byEndpoint[id] = s
		case now.Sub(s.listedAt) > limitRetention:
			delete(l.byEndpoint, id)
		}
	}
}

// takeover returns the limits for a new owner.
func (l *limits) takeover(now time.Time) []bbtschedule.Limit {
	var out []bbtschedule.Limit
	for _, id := range slices.Sorted(maps.Keys(l.byEndpoint)) {
		s := l.byEndpoint[id]
		out = append(out, bbtschedule.Limit{Endpoint: id, Limit: s.limit, Age: now.Sub(s.at), Address: s.incarnation.Address, StartTimeMS: s.incarnation.StartTimeMS})
	}
	return out
}
