package bbtprocess

import (
	"net"
	"sync"

	"bluebelltray/core/bbtfleet"
	"github.com/cockroachdb/errors"
)

// maxPacketBytes is the maximum size of a forwarded UDP packet.
const maxPacketBytes = 64 << 10

// direction is one direction of traffic between two hosts.
type direction struct{ from, to bbtfleet.HostID }

// Network forwards UDP packets between hosts and drops those in directions that
// are partitioned.
type Network struct {
	mu          sync.Mutex
	hosts       map[string]bbtfleet.HostID // by the host's own UDP address
	partitioned map[direction]bool
	senderConns map[direction]net.Conn // sends to the destination host on behalf of the source
	closers     []func() error
}

// NewNetwork returns a network with no hosts.
func NewNetwork() *Network {
	return &Network{
		hosts:       make(map[string]bbtfleet.HostID),
		partitioned: make(map[direction]bool),
		senderConns: make(map[direction]net.Conn),
	}
}

// Add adds a host that listens on ownAddr and returns the UDP address under
// which other hosts reach it.
func (n *Network) Add(id bbtfleet.HostID, ownAddr string) (string, error) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[ownAddr] = id
	n.closers = append(n.closers, conn.Close)
	f := &forwarder{network: n, to: id, ownAddr: ownAddr, conn: conn}
	go f.run()
	return conn.LocalAddr().String(), nil
}

// Partition drops all further packets from one host to another. Packets in the
// opposite direction still pass.
func (n *Network) Partition(from, to bbtfleet.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[direction{from, to}] = true
}

// Heal ends all partitions.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.partitioned)
}

// Close stops forwarding.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, closer := range n.closers {
		_ = closer() // a failed close loses no data
	}
}

// passes reports whether packets in direction d are forwarded.
func (n *Network) passes(d direction) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.partitioned[d]
}

// forwarder forwards packets that other hosts send to one host.
type forwarder struct {
	network *Network
	to      bbtfleet.HostID
	ownAddr string // the host's own UDP address
	conn    net.PacketConn
}

// run forwards packets until the network is closed.
func (f *forwarder) run() {
	p := make([]byte, maxPacketBytes)
	for {
		size, from, err := f.conn.ReadFrom(p)
		if err != nil {
			return
		}
		out, d, err := f.senderConn(from)
		if err == nil && f.network.passes(d) {
			_, _ = out.Write(p[:size]) // packets may be lost
		}
	}
}

// senderConn returns the connection that sends packets to the host on behalf of
// the peer at address from, and opens it if there is none.
func (f *forwarder) senderConn(from net.Addr) (net.Conn, direction, error) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	d := direction{f.network.hosts[from.String()], f.to}
	if out := f.network.senderConns[d]; out != nil {
		return out, d, nil
	}
	out, err := net.Dial("udp", f.ownAddr)
	if err != nil {
		return nil, d, err
	}
	f.network.senderConns[d] = out
	f.network.closers = append(f.network.closers, out.Close)
	reply := &replyForwarder{forwarder: f, conn: out, to: from, dir: direction{d.to, d.from}}
	go reply.run()
	return out, d, nil
}

// replyForwarder forwards a host's replies to one peer.
type replyForwarder struct {
	forwarder *forwarder
	conn      net.Conn
	to        net.Addr
	dir       direction
}

// run forwards replies until the network is closed.
func (r *replyForwarder) run() {
	p := make([]byte, maxPacketBytes)
	for {
		size, err := r.conn.Read(p)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && r.forwarder.network.passes(r.dir) {
			_, _ = r.forwarder.conn.WriteTo(p[:size], r.to) // packets may be lost
		}
	}
}
