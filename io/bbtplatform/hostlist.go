package bbtplatform

import "bluebelltray/core/bbtfleet"

// hostList is the host list as the platform encodes it in JSON.
type hostList struct {
	Revision uint64       `json:"revision"`
	Hosts    []hostRecord `json:"hosts"`
}

// hostRecord is one host as the platform encodes it in JSON.
type hostRecord struct {
	ID            string `json:"id"`
	Zone          string `json:"zone"`
	PeerAddress   string `json:"peer-address"`
	CallerAddress string `json:"caller-address"`
	State         string `json:"state"`
}

// toFleet converts the list to a bbtfleet.HostList.
func (l hostList) toFleet() bbtfleet.HostList {
	hosts := make([]bbtfleet.Host, 0, len(l.Hosts))
	for _, h := range l.Hosts {
		hosts = append(hosts, h.toFleet())
	}
	return bbtfleet.NewHostList(bbtfleet.Revision(l.Revision), hosts)
}

// toFleet converts the record to a bbtfleet.Host. Any state other than live is
// read as leaving, so that a host in an unknown state gets no new work.
func (h hostRecord) toFleet() bbtfleet.Host {
	state := bbtfleet.HostLeaving
	if h.State == bbtfleet.HostLive.String() {
		state = bbtfleet.HostLive
	}
	return bbtfleet.NewHost(bbtfleet.HostID(h.ID), bbtfleet.ZoneID(h.Zone),
		bbtfleet.WithPeerAddr(h.PeerAddress),
		bbtfleet.WithCallerAddr(h.CallerAddress),
		bbtfleet.WithHostState(state))
}
