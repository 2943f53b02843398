// Package bbtedge runs one entry host on a platform that publishes routes and
// servers: it joins the decisions of the core packages with callers, endpoints,
// peers and the platform.
package bbtedge

import (
	"net"
	"strconv"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtfleet"
)

// Settings are what a process learns when it starts.
type Settings struct {
	Host          bbtfleet.HostID // the host's IP address
	Name          string
	Zone          bbtfleet.ZoneID
	ListenAddr    string // IP:port that callers connect to
	CallerPort    string // the same on all hosts
	ReadyAddr     string // IP:port of the platform's checks
	DirectoryAddr string // IP:port that callers ask for addresses
	MetricsAddr   string // IP:port of the pages for operators; empty for none
	PeerPort      int    // UDP port between hosts, the same on all of them
	Seeds         []bbtfleet.HostID
	PlatformAddr  string  // IP:port
	FirstStart    bool    // the whole fleet starts for the first time
	Cores         float64 // of a processor that the host has; 0 if unknown
	Bounds        bbtcatalog.Bounds
}

// PeerAddr returns the UDP address of a host.
func (s *Settings) PeerAddr(host bbtfleet.HostID) string {
	return net.JoinHostPort(string(host), strconv.Itoa(s.PeerPort))
}

// CallerAddr returns the TCP address of a host for callers.
func (s *Settings) CallerAddr(host bbtfleet.HostID) string {
	return net.JoinHostPort(string(host), s.CallerPort)
}

// host returns the record of a host.
func (s *Settings) newHost(id bbtfleet.HostID) bbtfleet.Host {
	return bbtfleet.NewHost(id, "", bbtfleet.WithPeerAddr(s.PeerAddr(id)), bbtfleet.WithCallerAddr(s.CallerAddr(id)))
}
