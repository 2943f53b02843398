package bbtprocess

import (
	"net"
	"sync"

	"bluebelltray/core/bbtfleet"
	"github.com/cockroachdb/errors"
)

// maxPacket is the largest UDP packet that is forwarded, in bytes.
const maxPacket = 64 << 10

// direction is one way between two hosts.
type direction struct{ from, to bbtfleet.HostID }

// Network forwards the packets between hosts and drops those of the directions
// that are cut.
type Network struct {
	mu     sync.Mutex
	hosts  map[string]bbtfleet.HostID // by own UDP address
	cut    map[direction]bool
	sender map[direction]net.Conn // to the second host, for the first
	closed []func() error
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{
		hosts:  make(map[string]bbtfleet.HostID),
		cut:    make(map[direction]bool),
		sender: make(map[direction]net.Conn),
	}
}

// Add returns the UDP address at which other hosts reach a host whose own
// address is own.
func (n *Network) Add(id bbtfleet.HostID, own string) (string, error) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[own] = id
	n.closed = append(n.closed, conn.Close)
	f := &forwarder{network: n, to: id, own: own, conn: conn}
	go f.run()
	return conn.LocalAddr().String(), nil
}

// Partition drops what one host sends to the other from now on.
func (n *Network) Partition(from, to bbtfleet.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[direction{from, to}] = true
}

// Heal ends all cuts.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
}

// Close ends the forwarding.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, closeConn := range n.closed {
		_ = closeConn() // nothing is lost with it
	}
}

// passes reports whether packets from one host reach the other.
func (n *Network) passes(d direction) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cut[d]
}

// forwarder receives the packets to one host.
type forwarder struct {
	network *Network
	to      bbtfleet.HostID
	own     string // the host's own UDP address
	conn    net.PacketConn
}

// run forwards packets until the network is closed.
func (f *forwarder) run() {
	p := make([]byte, maxPacket)
	for {
		size, from, err := f.conn.ReadFrom(p)
		if err != nil {
			return
		}
		out, d, err := f.sender(from)
		if err == nil && f.network.passes(d) {
			_, _ = out.Write(p[:size]) // packets may be lost
		}
	}
}

// sender returns the connection that stands for the sender of a packet at the
// host.
func (f *forwarder) sender(from net.Addr) (net.Conn, direction, error) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	d := direction{f.network.hosts[from.String()], f.to}
	if out := f.network.sender[d]; out != nil {
		return out, d, nil
	}
	out, err := net.Dial("udp", f.own)
	if err != nil {
		return nil, d, err
	}
	f.network.sender[d] = out
	f.network.closed = append(f.network.closed, out.Close)
	b := &returner{forwarder: f, conn: out, to: from, way: direction{d.to, d.from}}
	go b.run()
	return out, d, nil
}

// returner receives what a host answers to one sender.
type returner struct {
	forwarder *forwarder
	conn      net.Conn
	to        net.Addr
	way       direction
}

// run forwards packets until the network is closed.
func (r *returner) run() {
	p := make([]byte, maxPacket)
	for {
		size, err := r.conn.Read(p)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && r.forwarder.network.passes(r.way) {
			_, _ = r.forwarder.conn.WriteTo(p[:size], r.to) // packets may be lost
		}
	}
}
