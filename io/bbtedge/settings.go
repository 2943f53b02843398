// Package bbtedge runs one entry host on a platform that publishes routes, client
// accounts and endpoints in a key-value store; bbtdaemon runs one where a published
// manifest lists zones, endpoints and contracts. The package connects the decision
// logic of the core packages to callers, endpoints, peers and the platform. Each
// host has the entry role for its callers' requests; the host elected as owner also
// schedules the requests of all hosts.
package bbtedge

import (
	"net"
	"strconv"
	"time"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtfleet"
)

// Settings describe a host and its process. They are read when the process starts.
// Only Bounds can change later, by Edge.Reload.
type Settings struct {
	Host        bbtfleet.HostID // the host's IP address
	Name        string          // the platform's name for the host, used in logs
	Zone        bbtfleet.ZoneID
	ListenAddr  string // IP:port that callers connect to
	CallerPort  string // TCP port for callers, the same on all hosts
	Ready       string // address, IP:port, at which the platform checks readiness
	Directory   string // address, IP:port, at which callers look up host addresses
	MetricsAddr string // IP:port of the pages for operators; empty for none
	PeerPort    int    // UDP port for peers, the same on all hosts
	Seeds       []bbtfleet.HostID
	Platform    string  // IP:port of the platform's store
	FirstStart  bool    // the whole fleet starts for the first time, so no limit is used yet
	Cores       float64 // number of processor cores that the host may use; 0 if unknown
	Memory      int64   // bytes that the process may use; 0 if unknown
	Files       int     // descriptors that the process may have open; 0 if unknown
	Bounds      bbtcatalog.Bounds

	// TierRoomObjective is the latency objective of a model service's most urgent route
	// from which the service keeps room for its tiers; 0 for none.
	TierRoomObjective time.Duration
}

// PeerAddr returns the UDP address of a host.
func (s *Settings) PeerAddr(host bbtfleet.HostID) string {
	return net.JoinHostPort(string(host), strconv.Itoa(s.PeerPort))
}

// CallerAddr returns the TCP address at which a host accepts callers.
func (s *Settings) CallerAddr(host bbtfleet.HostID) string {
	return net.JoinHostPort(string(host), s.CallerPort)
}

// newHost returns the host with an ID, at the ports that all hosts share.
func (s *Settings) newHost(id bbtfleet.HostID) bbtfleet.Host {
	return bbtfleet.NewHost(id, "", bbtfleet.WithPeerAddr(s.PeerAddr(id)), bbtfleet.WithCallerAddr(s.CallerAddr(id)))
}
