package bbtsuspect

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
)

// HostSelector returns the coordinator for a key among hosts, of which there is
// at least one. It must give the same result on every host.
type HostSelector func(hosts []bbtfleet.HostID, key uint64) bbtfleet.HostID

// from returns the host selected from hosts, or an empty ID if there are none.
func (s HostSelector) from(hosts []bbtfleet.HostID, key uint64) bbtfleet.HostID {
	if len(hosts) == 0 {
		return ""
	}
	return s(hosts, key)
}

// maxHostSets limits the remembered host sets. Beyond it, the settling time of
// a coordinator is measured from the oldest remembered set.
const maxHostSets = 64

// hostSet is the set of listed, reachable hosts from a point in time on.
type hostSet struct {
	hosts []bbtfleet.HostID
	since time.Time
}

// history holds the recent host sets from which coordinators are chosen.
type history struct {
	pick        HostSelector
	listed      []bbtfleet.HostID
	unreachable map[bbtfleet.HostID]bool
	sets        []hostSet // newest last
}

// update records the current set of listed, reachable hosts.
func (h *history) update(now time.Time) {
	hosts := slices.DeleteFunc(slices.Clone(h.listed), func(id bbtfleet.HostID) bool { return h.unreachable[id] })
	h.sets = append(h.sets, hostSet{hosts: hosts, since: now})
	horizon := now.Add(-SettlingTime)
	for len(h.sets) > maxHostSets || len(h.sets) > 1 && !h.sets[1].since.After(horizon) {
		h.sets = h.sets[1:]
	}
}

// last returns the hosts of the newest set, from which coordinators are now
// chosen.
func (h *history) last() []bbtfleet.HostID {
	if len(h.sets) == 0 {
		return nil
	}
	return h.sets[len(h.sets)-1].hosts
}

// coordinator returns the coordinator of the request, or an empty ID if there
// are no hosts.
func (h *history) coordinator(f Fingerprint) bbtfleet.HostID { return h.pick.from(h.last(), uint64(f)) }

// successor returns the host that takes over if the coordinator of the request
// fails.
func (h *history) successor(f Fingerprint) bbtfleet.HostID {
	coordinator := h.coordinator(f)
	rest := slices.DeleteFunc(slices.Clone(h.last()), func(id bbtfleet.HostID) bool { return id == coordinator })
	return h.pick.from(rest, uint64(f))
}

// tenure returns how long self has been the coordinator of the request without
// interruption, as far as the history goes back, and whether it is the
// coordinator now.
func (h *history) tenure(now time.Time, self bbtfleet.HostID, f Fingerprint) (time.Duration, bool) {
	tenure, found := time.Duration(0), false
	for _, set := range slices.Backward(h.sets) {
		if h.pick.from(set.hosts, uint64(f)) != self {
			break
		}
		tenure, found = now.Sub(set.since), true
	}
	return tenure, found
}

// settled reports whether self is certain to have been the only coordinator of
// the request for SettlingTime. It also requires that self is the choice among
// all listed hosts and that none of them is unreachable.
func (h *history) settled(now time.Time, self bbtfleet.HostID, f Fingerprint) bool {
	if h.pick.from(h.listed, uint64(f)) != self {
		return false
	}
	tenure, _ := h.tenure(now, self, f)
	return tenure >= SettlingTime && len(h.unreachable) == 0
}
