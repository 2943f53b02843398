package bbtsuspect

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
)

// HostSelector returns the coordinator for a key among hosts, of which there is
// at least one. It must give the same result on every host.
type HostSelector func(hosts []bbtfleet.HostID, key uint64) bbtfleet.HostID

// choose returns the selected host, or an empty ID if there are no hosts.
func (r HostSelector) choose(hosts []bbtfleet.HostID, key uint64) bbtfleet.HostID {
	if len(hosts) == 0 {
		return ""
	}
	return r(hosts, key)
}

// maxHostSets limits the remembered host sets. Beyond it, the settling time of
// a coordinator is measured from the oldest remembered set.
const maxHostSets = 64

// hostSet is the set of listed, reachable hosts from a point in time on.
type hostSet struct {
	hosts []bbtfleet.HostID
	since time.Time
}

// hostHistory holds the recent host sets from which coordinators are chosen.
type hostHistory struct {
	selector    HostSelector
	listed      []bbtfleet.HostID
	unreachable map[bbtfleet.HostID]bool
	sets        []hostSet // newest last
}

// update records the current set of listed, reachable hosts.
func (p *hostHistory) update(now time.Time) {
	hosts := slices.DeleteFunc(slices.Clone(p.listed), func(h bbtfleet.HostID) bool { return p.unreachable[h] })
	p.sets = append(p.sets, hostSet{hosts: hosts, since: now})
	horizon := now.Add(-SettlingTime)
	for len(p.sets) > maxHostSets || len(p.sets) > 1 && !p.sets[1].since.After(horizon) {
		p.sets = p.sets[1:]
	}
}

// current returns the hosts from which coordinators are now chosen.
func (p *hostHistory) current() []bbtfleet.HostID {
	if len(p.sets) == 0 {
		return nil
	}
	return p.sets[len(p.sets)-1].hosts
}

// coordinator returns the coordinator of the request, or an empty ID if there
// are no hosts.
func (p *hostHistory) coordinator(f Fingerprint) bbtfleet.HostID {
	return p.selector.choose(p.current(), uint64(f))
}

// successor returns the host that takes over if the coordinator of the request
// fails.
func (p *hostHistory) successor(f Fingerprint) bbtfleet.HostID {
	coordinator := p.coordinator(f)
	rest := slices.DeleteFunc(slices.Clone(p.current()), func(h bbtfleet.HostID) bool { return h == coordinator })
	return p.selector.choose(rest, uint64(f))
}

// tenure returns how long self has been the coordinator of the request without
// interruption, as far as the history goes back, and whether it is the
// coordinator now.
func (p *hostHistory) tenure(now time.Time, self bbtfleet.HostID, f Fingerprint) (time.Duration, bool) {
	tenure, found := time.Duration(0), false
	for _, x := range slices.Backward(p.sets) {
		if p.selector.choose(x.hosts, uint64(f)) != self {
			break
		}
		tenure, found = now.Sub(x.since), true
	}
	return tenure, found
}

// settled reports whether self must have been the only coordinator of the
// request for SettlingTime. It also requires that self is the choice among all
// listed hosts and that none of them is unreachable.
func (p *hostHistory) settled(now time.Time, self bbtfleet.HostID, f Fingerprint) bool {
	if p.selector.choose(p.listed, uint64(f)) != self {
		return false
	}
	tenure, _ := p.tenure(now, self, f)
	return tenure >= SettlingTime && len(p.unreachable) == 0
}
