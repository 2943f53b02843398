package bbthome

import (
	"bluebelltray/core/bbtfleet"
)

// View is the live hosts of one revision of the host list.
type View struct {
	revision bbtfleet.Revision
	hosts    []bbtfleet.HostID
}

// NewView returns the view of a host list. Hosts that leave are no homes.
func NewView(l bbtfleet.HostList) View {
	v := View{revision: l.Revision(), hosts: make([]bbtfleet.HostID, 0, len(l.Hosts()))}
	for _, h := range l.Hosts() {
		if h.State() == bbtfleet.HostLive {
			v.hosts = append(v.hosts, h.ID())
		}
	}
	return v
}

// Revision returns the host list's revision.
func (v View) Revision() bbtfleet.Revision { return v.revision }

// Hosts returns the live hosts, which must not be changed.
func (v View) Hosts() []bbtfleet.HostID { return v.hosts }

// HomeSelector returns the home of a key among hosts, of which there is at least one.
// It must give the same result on every host.
type HomeSelector func(hosts []bbtfleet.HostID, key uint64) bbtfleet.HostID

// of returns the first of hosts, or an empty name if there are none.
func (r HomeSelector) of(hosts []bbtfleet.HostID, key uint64) bbtfleet.HostID {
	if len(hosts) == 0 {
		return ""
	}
	return r(hosts, key)
}
