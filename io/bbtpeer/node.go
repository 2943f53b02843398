package bbtpeer

import (
	"context"
	"net"
	"sync"
	"time"

	"bluebelltray/core/bbtfleet"
	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// Default bounds of a node.
const (
	DefaultInboxSize   = 4096
	DefaultQueueSize   = 512
	idleTimeout    = 2 * time.Minute
	handshakeLimit = time.Second
	redialPause    = 100 * time.Millisecond
	maxExchanges   = 1024
	lostQueue      = 1024
	maxUniStreams  = 16
	streamWindow   = 64 << 10
	connWindow     = 256 << 10
)

// ErrUnknownHost says that a host is not in the host list.
var ErrUnknownHost = errors.New("unknown host")

// Recorder counts what happens between peers.
type Recorder interface {
	Add(name string, n int64)
}

// Node is one host's end of the connections to its peers.
type Node struct {
	self      bbtfleet.HostID
	identity  Identity
	codec     *Codec
	recorder  Recorder
	transport *quic.Transport
	listener  *quic.Listener
	inbox     chan Inbound
	exchanges chan *Exchange
	lost      chan bbtfleet.HostID
	ctx       context.Context
	cancel    context.CancelFunc
	done      sync.WaitGroup

	mu    sync.Mutex
	addrs map[bbtfleet.HostID]string
	links map[bbtfleet.HostID]*link
}

// Inbound is a message and the host that sent it.
type Inbound struct {
	from    bbtfleet.HostID
	message any
}

// NewInbound returns a message from a host, for drivers that are no Node.
func NewInbound(from bbtfleet.HostID, msg any) Inbound { return Inbound{from: from, message: msg} }

// From returns the host that proved to be the sender.
func (i Inbound) From() bbtfleet.HostID { return i.from }

// Message returns the message, of one of the codec's types.
func (i Inbound) Message() any { return i.message }

// Listen returns a node that accepts peers on conn, which it owns from then on.
func Listen(self bbtfleet.HostID, conn net.PacketConn, id Identity, codec *Codec, rec Recorder) (*Node, error) {
	key, err := id.resetKey()
	if err != nil {
		return nil, errors.Wrap(err, "reset key")
	}
	tr := &quic.Transport{Conn: conn, StatelessResetKey: key}
	l, err := tr.Listen(id.server(), quicConfig())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		self:      self,
		identity:  id,
		codec:     codec,
		recorder:  rec,
		transport: tr,
		listener:  l,
		inbox:     make(chan Inbound, DefaultInboxSize),
		exchanges: make(chan *Exchange, maxExchanges),
		lost:      make(chan bbtfleet.HostID, lostQueue),
		ctx:       ctx,
		cancel:    cancel,
		addrs:     make(map[bbtfleet.HostID]string),
		links:     make(map[bbtfleet.HostID]*link),
	}
	n.done.Go(n.run)
	return n, nil
}

// quicConfig returns the settings of every connection. Connections carry no
// keep-alives; probes tell whether a peer lives.
func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeLimit,
		MaxIdleTimeout:                 idleTimeout,
		MaxIncomingStreams:             maxExchanges,
		MaxIncomingUniStreams:          maxUniStreams,
		InitialStreamReceiveWindow:     streamWindow,
		InitialConnectionReceiveWindow: connWindow,
	}
}

// Inbox returns the channel of messages from peers.
func (n *Node) Inbox() <-chan Inbound { return n.inbox }

// Exchanges returns the channel of exchanges that peers opened.
func (n *Node) Exchanges() <-chan *Exchange { return n.exchanges }

// Lost returns the channel of hosts to which the connection was lost, so that
// messages sent to them may not have arrived.
func (n *Node) Lost() <-chan bbtfleet.HostID { return n.lost }

// report says that the connection to a host was lost.
func (n *Node) report(host bbtfleet.HostID) {
	n.recorder.Add("peer-connections-lost", 1)
	select {
	case n.lost <- host:
	case <-n.ctx.Done():
	}
}

// SetHosts sets the peers' addresses.
func (n *Node) SetHosts(hosts []bbtfleet.Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.addrs)
	for _, h := range hosts {
		n.addrs[h.ID()] = h.PeerAddr()
	}
}

// Send queues a message and reports whether the queue had room. A queued
// message may still be lost.
func (n *Node) Send(to bbtfleet.HostID, msg any) bool {
	l, ok := n.link(to)
	if !ok || !l.offer(msg) {
		n.recorder.Add("peer-messages-dropped", 1)
		return false
	}
	return true
}

// Reset makes the next message to a host use a new connection. The old one,
// which may have gone silent, still brings the answers that are under way.
func (n *Node) Reset(host bbtfleet.HostID) {
	n.mu.Lock()
	l := n.links[host]
	n.mu.Unlock()
	if l != nil {
		l.detach()
	}
}

// Open starts an exchange with a host. Nothing is sent before the exchange's
// first message.
func (n *Node) Open(ctx context.Context, to bbtfleet.HostID) (*Exchange, error) {
	l, ok := n.link(to)
	if !ok {
		return nil, ErrUnknownHost
	}
	conn, err := l.connection(ctx)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", to)
	}
	stream, err := conn.OpenStream()
	if err != nil {
		return nil, errors.Wrapf(err, "open stream to %s", to)
	}
	return newExchange(to, stream, n.codec), nil
}

// Close closes all connections, which tells the peers, and waits for the node's
// goroutines.
func (n *Node) Close() error {
	n.cancel()
	n.done.Wait()
	err := errors.CombineErrors(n.listener.Close(), n.transport.Close())
	return errors.CombineErrors(err, n.transport.Conn.Close())
}

// link returns the link to a host, if the host is known.
func (n *Node) link(to bbtfleet.HostID) (*link, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.addrs[to]; !ok {
		return nil, false
	}
	l := n.links[to]
	if l == nil {
		l = newLink(n, to)
		n.links[to] = l
		n.done.Go(l.run)
	}
	return l, true
}

// addr returns a host's peer address.
func (n *Node) addr(host bbtfleet.HostID) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a, ok := n.addrs[host]
	return a, ok
}

// run accepts peers until the node is closed.
func (n *Node) run() {
	for {
		conn, err := n.listener.Accept(n.ctx)
		if err != nil {
			return
		}
		host, err := n.identity.peer(conn)
		if err != nil {
			n.recorder.Add("peers-refused", 1)
			conn.CloseWithError(0, err.Error())
			continue
		}
		n.serve(host, conn)
		if l, ok := n.link(host); ok {
			l.adopt(conn)
		}
	}
}

// serve starts the goroutines that read from a connection.
func (n *Node) serve(host bbtfleet.HostID, conn *quic.Conn) {
	s := &session{node: n, host: host, conn: conn}
	n.done.Go(s.run)
	n.done.Go(s.loop)
}
