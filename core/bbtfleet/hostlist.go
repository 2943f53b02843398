package bbtfleet

// HostList is the list of entry hosts that the platform publishes, at one
// revision.
type HostList struct {
	revision Revision
	hosts    []Host
}

// NewHostList returns a list that shares the slice hosts, which must not be
// modified afterwards.
func NewHostList(r Revision, hosts []Host) HostList { return HostList{revision: r, hosts: hosts} }

// Revision returns the list's revision.
func (l HostList) Revision() Revision { return l.revision }

// Hosts returns the hosts. The slice must not be modified.
func (l HostList) Hosts() []Host { return l.hosts }
