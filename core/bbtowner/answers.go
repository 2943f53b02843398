package bbtowner

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// Answers remembers since when hosts have answered probes without a gap. What a
// host granted before its first answer may be used for GrantFor after it, so
// that an answer counts no sooner. The zero value is ready to use.
type Answers struct {
	runs map[bbtfleet.HostID]run
}

// run is a row of answers without a gap.
type run struct {
	since time.Time // when the first answer was known
	acked time.Time // when the last answered probe was sent
}

// Note records that a host has answered a probe sent at acked, and returns that
// time once it counts, before that the zero time.
func (a *Answers) Note(now time.Time, host bbtfleet.HostID, acked time.Time) time.Time {
	if a.runs == nil {
		a.runs = make(map[bbtfleet.HostID]run)
	}
	r := a.runs[host]
	if acked.After(r.acked) {
		if acked.Sub(r.acked) >= YieldFor {
			r.since = now
		}
		r.acked = acked
		a.runs[host] = r
	}
	if now.Sub(r.since) < GrantFor {
		return time.Time{}
	}
	return r.acked
}
