package bbtschedule

import (
	"maps"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
)

// hostsToPauseAll is the number of hosts, told to pause in succession, from which an
// endpoint is taken to be too busy for all.
const hostsToPauseAll = 3

// hostPauses holds the times until which an endpoint wants no requests from hosts. If it
// has said so to several hosts, and taken no request since, it is too busy for all.
type hostPauses struct {
	until    map[bbtfleet.HostID]time.Time
	began    time.Time // when the first of these hosts was told, or a request was taken since
	told     int       // hosts told since
	allUntil time.Time // until which other hosts are kept from the endpoint, too
}

// add adds the pause of a host.
func (p *hostPauses) add(now time.Time, host bbtfleet.HostID, until time.Time) {
	maps.DeleteFunc(p.until, func(_ bbtfleet.HostID, until time.Time) bool { return !now.Before(until) })
	if p.until == nil {
		p.until = make(map[bbtfleet.HostID]time.Time)
	}
	if len(p.until) == 0 {
		p.began, p.told = now, 0
	}
	if _, known := p.until[host]; !known {
		p.told++
	}
	p.until[host] = later(p.until[host], until)
	if p.told >= hostsToPauseAll {
		p.allUntil = slices.MinFunc(slices.Collect(maps.Values(p.until)), time.Time.Compare)
	}
}

// taken records that the endpoint has taken a request that was permitted at a time.
func (p *hostPauses) taken(now, granted time.Time) {
	if len(p.until) > 0 && granted.After(p.began) {
		p.began, p.told, p.allUntil = now, 0, time.Time{}
	}
}

// end returns the end of the pause for a host.
func (p *hostPauses) end(host bbtfleet.HostID) time.Time {
	return later(p.until[host], p.allUntil)
}

// active returns the number of hosts that were told to pause now.
func (p *hostPauses) active(now time.Time) int {
	n := 0
	for _, until := range p.until {
		if now.Before(until) {
			n++
		}
	}
	return n
}
