package bbthome

import (
	"bluebelltray/core/bbtfleet"
)

// View holds the live hosts of one revision of the host list.
type View struct {
	revision bbtfleet.Revision
	hosts    []bbtfleet.HostID
}

// NewView returns the view of a host list. It omits hosts that are leaving, as
// they must not become a key's home.
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

// HomeSelector returns the home of a key among at least one host. It must be
// deterministic, so that every host gets the same result.
type HomeSelector func(hosts []bbtfleet.HostID, key uint64) bbtfleet.HostID

// selectHome returns the home of a key, or an empty ID if there are no hosts.
func (s HomeSelector) selectHome(hosts []bbtfleet.HostID, key uint64) bbtfleet.HostID {
	if len(hosts) == 0 {
		return ""
	}
	return s(hosts, key)
}
