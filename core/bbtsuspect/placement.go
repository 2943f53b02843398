package bbtsuspect

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
)

// HostSelector returns the guard of a key among hosts, of which there is at least one.
// It must give the same result on every host.
type HostSelector func(hosts []bbtfleet.HostID, key uint64) bbtfleet.HostID

// of returns the first of hosts, or an empty name if there are none.
func (r HostSelector) of(hosts []bbtfleet.HostID, key uint64) bbtfleet.HostID {
	if len(hosts) == 0 {
		return ""
	}
	return r(hosts, key)
}

// maxPlacements bounds the host sets remembered; beyond it a guard settles
// from the oldest remembered.
const maxPlacements = 64

// placement is the hosts that could be reached from a time on.
type placement struct {
	hosts []bbtfleet.HostID
	from  time.Time
}

// placements are the successive sets of hosts among which guards are chosen.
type placements struct {
	rank        HostSelector
	listed      []bbtfleet.HostID
	unreachable map[bbtfleet.HostID]bool
	past        []placement // newest last
}

// change enters the hosts that are listed and can be reached.
func (p *placements) change(now time.Time) {
	hosts := slices.DeleteFunc(slices.Clone(p.listed), func(h bbtfleet.HostID) bool { return p.unreachable[h] })
	p.past = append(p.past, placement{hosts: hosts, from: now})
	horizon := now.Add(-SettlingTime)
	for len(p.past) > maxPlacements || len(p.past) > 1 && !p.past[1].from.After(horizon) {
		p.past = p.past[1:]
	}
}

// newest returns the hosts among which guards are chosen now.
func (p *placements) newest() []bbtfleet.HostID {
	if len(p.past) == 0 {
		return nil
	}
	return p.past[len(p.past)-1].hosts
}

// guard returns the request's guard, or an empty name.
func (p *placements) guard(f Fingerprint) bbtfleet.HostID { return p.rank.of(p.newest(), uint64(f)) }

// follower returns the host that would follow the request's guard.
func (p *placements) follower(f Fingerprint) bbtfleet.HostID {
	guard := p.guard(f)
	rest := slices.DeleteFunc(slices.Clone(p.newest()), func(h bbtfleet.HostID) bool { return h == guard })
	return p.rank.of(rest, uint64(f))
}

// age returns how long self has been the request's guard without a break, as
// far as that is remembered, and whether it is.
func (p *placements) age(now time.Time, self bbtfleet.HostID, f Fingerprint) (time.Duration, bool) {
	age, is := time.Duration(0), false
	for _, x := range slices.Backward(p.past) {
		if p.rank.of(x.hosts, uint64(f)) != self {
			break
		}
		age, is = now.Sub(x.from), true
	}
	return age, is
}

// settled reports whether self alone has been the request's guard for
// UnsettledTime, also by the host list's account.
func (p *placements) settled(now time.Time, self bbtfleet.HostID, f Fingerprint) bool {
	if p.rank.of(p.listed, uint64(f)) != self {
		return false
	}
	age, _ := p.age(now, self, f)
	return age >= SettlingTime && len(p.unreachable) == 0
}
