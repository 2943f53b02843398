package bbtview

import (
	"maps"
	"slices"

	"bluebelltray/core/bbtfleet"
)

// historyLength is the number of host lists that changes are computed from.
const historyLength = 8

// history keeps the host list in force and those before it.
type history struct{ lists []bbtfleet.HostList }

// current returns the list in force.
func (h *history) current() bbtfleet.HostList {
	if len(h.lists) == 0 {
		return bbtfleet.HostList{}
	}
	return h.lists[len(h.lists)-1]
}

// add puts a list in force.
func (h *history) add(l bbtfleet.HostList) {
	h.lists = append(h.lists, l)
	if len(h.lists) > historyLength {
		h.lists = slices.Delete(h.lists, 0, 1)
	}
}

// at returns the list of the revision.
func (h *history) at(r bbtfleet.Revision) (bbtfleet.HostList, bool) {
	for _, l := range h.lists {
		if l.Revision() == r {
			return l, true
		}
	}
	return bbtfleet.HostList{}, false
}

// delta returns the changes from the revision to the list in force, the whole
// list if the revision is not remembered, nil if it is not older.
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
	before := byID(base)
	for _, host := range to.Hosts() {
		if old, ok := before[host.ID()]; !ok || old != host {
			d.Set = append(d.Set, record(host))
		}
		delete(before, host.ID())
	}
	for _, id := range slices.Sorted(maps.Keys(before)) {
		d.Removed = append(d.Removed, string(id))
	}
	return d
}

// apply returns the list that the changes make. It returns false if they start
// from a list that is not remembered.
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
		hosts[bbtfleet.HostID(r.ID)] = r.host()
	}
	list := make([]bbtfleet.Host, 0, len(hosts))
	for _, id := range slices.Sorted(maps.Keys(hosts)) {
		list = append(list, hosts[id])
	}
	return bbtfleet.NewHostList(bbtfleet.Revision(d.To), list), true
}

// byID returns the hosts of a list by their names.
func byID(l bbtfleet.HostList) map[bbtfleet.HostID]bbtfleet.Host {
	out := make(map[bbtfleet.HostID]bbtfleet.Host, len(l.Hosts()))
	for _, h := range l.Hosts() {
		out[h.ID()] = h
	}
	return out
}

// record returns the wire form of a host.
func record(h bbtfleet.Host) HostRecord {
	return HostRecord{
		ID:         string(h.ID()),
		Zone:       string(h.Zone()),
		PeerAddr:   h.PeerAddr(),
		CallerAddr: h.CallerAddr(),
		State:      uint8(h.State()),
	}
}

// host returns the host of the record.
func (r HostRecord) host() bbtfleet.Host {
	return bbtfleet.NewHost(bbtfleet.HostID(r.ID), bbtfleet.ZoneID(r.Zone),
		bbtfleet.WithPeerAddr(r.PeerAddr),
		bbtfleet.WithCallerAddr(r.CallerAddr),
		bbtfleet.WithHostState(bbtfleet.HostState(r.State)))
}
