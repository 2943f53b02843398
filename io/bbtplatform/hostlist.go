package bbtplatform

import "bluebelltray/core/bbtfleet"

// hostList is the published form of the host list.
type hostList struct {
	Revision uint64       `json:"revision"`
	Hosts    []hostRecord `json:"hosts"`
}

// hostRecord is the published form of one host.
type hostRecord struct {
	ID            string `json:"id"`
	Zone          string `json:"zone"`
	PeerAddress   string `json:"peer-address"`
	CallerAddress string `json:"caller-address"`
	State         string `json:"state"`
}

// record returns the list as the core knows it.
func (l hostList) record() bbtfleet.HostList {
	hosts := make([]bbtfleet.Host, 0, len(l.Hosts))
	for _, h := range l.Hosts {
		hosts = append(hosts, h.record())
	}
	return bbtfleet.NewHostList(bbtfleet.Revision(l.Revision), hosts)
}

// record returns the host as the core knows it. A state other than live is
// taken for leaving, which gives the host no new work.
func (h hostRecord) record() bbtfleet.Host {
	state := bbtfleet.HostLeaving
	if h.State == bbtfleet.HostLive.String() {
		state = bbtfleet.HostLive
	}
	return bbtfleet.NewHost(bbtfleet.HostID(h.ID), bbtfleet.ZoneID(h.Zone),
		bbtfleet.WithPeerAddr(h.PeerAddress),
		bbtfleet.WithCallerAddr(h.CallerAddress),
		bbtfleet.WithHostState(state))
}
