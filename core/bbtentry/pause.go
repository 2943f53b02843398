package bbtentry

import (
	"maps"
	"slices"
	"time"

	"bluebelltray/core/bbtschedule"
)

const (
	maxPauses         = 4096             // endpoints whose pauses a host remembers
	pauseReportPeriod = 10 * time.Second // least time between reports of pauses of one endpoint
)

// pauses holds the endpoints that want no requests from this host for a time.
type pauses struct {
	byEndpoint map[string]pause
	trimmedAt  time.Time
}

// pause is what an incarnation of an endpoint has said.
type pause struct {
	incarnation bbtschedule.Incarnation
	until       time.Time
	reportedAt  time.Time
}

func newPauses() pauses { return pauses{byEndpoint: make(map[string]pause)} }

// add adds a pause, at most MaxPause long, and reports whether it is to be reported. A
// shorter pause does not end a longer one.
func (p *pauses) add(now time.Time, i bbtschedule.Incarnation, d time.Duration) bool {
	known, ok := p.byEndpoint[i.Endpoint]
	if d <= 0 || ok && known.incarnation.Succeeds(i) {
		return false
	}
	if !ok && len(p.byEndpoint) >= maxPauses {
		if p.trim(now); len(p.byEndpoint) >= maxPauses {
			return false
		}
	}
	next := pause{incarnation: i, until: now.Add(min(d, bbtschedule.MaxPause)), reportedAt: known.reportedAt}
	if ok && !i.Succeeds(known.incarnation) && known.until.After(next.until) {
		next.until = known.until
	}
	report := known.reportedAt.IsZero() || now.Sub(known.reportedAt) >= pauseReportPeriod
	if report {
		next.reportedAt = now
	}
	p.byEndpoint[i.Endpoint] = next
	return report
}

// remaining returns for how long an incarnation of an endpoint wants no requests, 0 if
// it takes them.
func (p *pauses) remaining(now time.Time, i bbtschedule.Incarnation) time.Duration {
	known, ok := p.byEndpoint[i.Endpoint]
	if !ok || i.Succeeds(known.incarnation) {
		return 0
	}
	return max(0, known.until.Sub(now))
}

// trim forgets the pauses that are over and were not reported lately, at most once in
// pauseReportPeriod.
func (p *pauses) trim(now time.Time) {
	if now.Sub(p.trimmedAt) < pauseReportPeriod {
		return
	}
	p.trimmedAt = now
	maps.DeleteFunc(p.byEndpoint, func(_ string, k pause) bool {
		return !now.Before(k.until) && now.Sub(k.reportedAt) >= pauseReportPeriod
	})
}

// takeover returns the pauses for a new owner.
func (p *pauses) takeover(now time.Time) []bbtschedule.Pause {
	var out []bbtschedule.Pause
	for _, id := range slices.Sorted(maps.Keys(p.byEndpoint)) {
		if k := p.byEndpoint[id]; now.Before(k.until) {
			out = append(out, bbtschedule.Pause{Incarnation: k.incarnation, Remaining: k.until.Sub(now)})
		}
	}
	return out
}

// pauseOf returns the pause of an incarnation of an endpoint, zero if there is none.
func (e *Entry) pauseOf(now time.Time, i bbtschedule.Incarnation) bbtschedule.Pause {
	left := e.pauses.remaining(now, i)
	if left == 0 {
		return bbtschedule.Pause{}
	}
	return bbtschedule.Pause{Incarnation: i, Remaining: left}
}

// EndpointPaused records that the endpoint of a dispatch has said in its answer that it
// wants no requests from this host for a time. This host sends it none until then,
// whatever an owner permits. The owner is told with the reports on the dispatch.
func (e *Entry) EndpointPaused(now time.Time, d Dispatch, period time.Duration) []Action {
	if !e.pauses.add(now, d.incarnation(), period) {
		return nil
	}
	return []Action{EndpointPauses{Endpoint: d.Endpoint, Period: e.pauses.remaining(now, d.incarnation())}}
}
