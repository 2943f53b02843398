package bbtview

import (
	"maps"
	"slices"

	"bluebelltray/core/bbtfleet"
)

// historyLength is the number of host lists kept to compute deltas from.
const historyLength = 8

// history holds the active host list and the ones before it.
type history struct{ lists []bbtfleet.HostList }

// current returns the active list.
func (h *history) current() bbtfleet.HostList {
	if len(h.lists) == 0 {
		return bbtfleet.HostList{}
	}
	return h.lists[len(h.lists)-1]
}

// add makes a list the active one.
func (h *history) add(l bbtfleet.HostList) {
	h.lists = append(h.lists, l)
	if len(h.lists) > historyLength {
		h.lists = slices.Delete(h.lists, 0, 1)
	}
}

// at returns the list with the revision, if it is kept.
func (h *history) at(r bbtfleet.Revision) (bbtfleet.HostList, bool) {
	for _, l := range h.lists {
		if l.Revision() == r {
			return l, true
		}
	}
	return bbtfleet.HostList{}, false
}

// delta returns the changes from the revision to the active list. It returns the
// whole list if that revision is not kept, nil if it is not older.
func (h *history) delta(from bbtfleet.Revision) *HostDelta {
	to := h.current()
	if from >= to.Revision() {
		return nil
	}
	base, ok := h.at(from)
	d := &HostDelta{To: uint64(to.Revision())}
	if ok {
		d.From = uint64(from)
	}
	previous := byID(base)
	for _, host := range to.Hosts() {
		if old, ok := previous[host.ID()]; !ok || old != host {
			d.Set = append(d.Set, toRecord(host))
		}
		delete(previous, host.ID())
	}
	for _, id := range slices.Sorted(maps.Keys(previous)) {
		d.Removed = append(d.Removed, string(id))
	}
	return d
}

// apply returns the list that results from the delta. It returns false if the
// list that the delta starts from is not kept.
func (h *history) apply(d *HostDelta) (bbtfleet.HostList, bool) {
	base, ok := h.at(bbtfleet.Revision(d.From))
	if !ok && d.From != 0 {
		return bbtfleet.HostList{}, false
	}
	hosts := byID(base)
	for _, id := range d.Removed {
		delete(hosts, bbtfleet.HostID(id))
	}
	for _, r := range d.Set {
		hosts[bbtfleet.HostID(r.ID)] = r.toHost()
	}
	list := make([]bbtfleet.Host, 0, len(hosts))
	for _, id := range slices.Sorted(maps.Keys(hosts)) {
		list = append(list, hosts[id])
	}
	return bbtfleet.NewHostList(bbtfleet.Revision(d.To), list), true
}

// byID returns the hosts of a list by ID.
func byID(l bbtfleet.HostList) map[bbtfleet.HostID]bbtfleet.Host {
	out := make(map[bbtfleet.HostID]bbtfleet.Host, len(l.Hosts()))
	for _, h := range l.Hosts() {
		out[h.ID()] = h
	}
	return out
}

// toRecord returns the wire form of a host.
func toRecord(h bbtfleet.Host) HostRecord {
	return HostRecord{
		ID:         string(h.ID()),
		Zone:       string(h.Zone()),
		PeerAddr:   h.PeerAddr(),
		CallerAddr: h.CallerAddr(),
		State:      uint8(h.State()),
	}
}

// toHost returns the host that the record describes.
func (r HostRecord) toHost() bbtfleet.Host {
	return bbtfleet.NewHost(bbtfleet.HostID(r.ID), bbtfleet.ZoneID(r.Zone),
		bbtfleet.WithPeerAddr(r.PeerAddr),
		bbtfleet.WithCallerAddr(r.CallerAddr),
		bbtfleet.WithHostState(bbtfleet.HostState(r.State)))
}
