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

// Queue sizes, timeouts and QUIC limits of a node.
const (
	inboxSize         = 4096
	sendQueueSize     = 512
	idleTimeout       = 2 * time.Minute
	handshakeTimeout  = time.Second
	redialDelay       = 100 * time.Millisecond
	maxExchanges      = 1024
	lostQueueSize     = 1024
	maxUniStreams     = 16
	streamWindowBytes = 64 << 10
	connWindowBytes   = 256 << 10
)

// ErrUnknownHost is returned for a host that is not in the host list.
var ErrUnknownHost = errors.New("host is not in the host list")

// Recorder counts events of a node.
type Recorder interface {
	Add(name string, n int64)
}

// Node manages one host's connections to its peers.
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
	wg        sync.WaitGroup

	mu    sync.Mutex
	addrs map[bbtfleet.HostID]string
	links map[bbtfleet.HostID]*link
}

// Inbound is a received message and its sender.
type Inbound struct {
	from    bbtfleet.HostID
	message any
}

// NewInbound returns a received message, for transports other than Node.
func NewInbound(from bbtfleet.HostID, msg any) Inbound { return Inbound{from: from, message: msg} }

// From returns the sender, identified by its certificate or IP address.
func (i Inbound) From() bbtfleet.HostID { return i.from }

// Message returns the message. Its type is one of the codec's types.
func (i Inbound) Message() any { return i.message }

// Listen returns a node that accepts connections on conn and takes ownership of
// conn.
func Listen(self bbtfleet.HostID, conn net.PacketConn, id Identity, codec *Codec, rec Recorder) (*Node, error) {
	key, err := id.resetKey()
	if err != nil {
		return nil, errors.Wrap(err, "derive stateless reset key")
	}
	tr := &quic.Transport{Conn: conn, StatelessResetKey: key}
	l, err := tr.Listen(id.serverConfig(), quicConfig())
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
		inbox:     make(chan Inbound, inboxSize),
		exchanges: make(chan *Exchange, maxExchanges),
		lost:      make(chan bbtfleet.HostID, lostQueueSize),
		ctx:       ctx,
		cancel:    cancel,
		addrs:     make(map[bbtfleet.HostID]string),
		links:     make(map[bbtfleet.HostID]*link),
	}
	n.wg.Go(n.run)
	return n, nil
}

// quicConfig returns the configuration of every connection. QUIC keep-alives
// stay off, since the liveness of peers is checked by probe messages.
func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		MaxIncomingStreams:             maxExchanges,
		MaxIncomingUniStreams:          maxUniStreams,
		InitialStreamReceiveWindow:     streamWindowBytes,
		InitialConnectionReceiveWindow: connWindowBytes,
	}
}

// Inbox returns the channel of received messages.
func (n *Node) Inbox() <-chan Inbound { return n.inbox }

// Exchanges returns the channel of exchanges that peers opened.
func (n *Node) Exchanges() <-chan *Exchange { return n.exchanges }

// Lost returns the channel of hosts whose connection was lost or could not be
// opened. Messages sent to them may not have arrived.
func (n *Node) Lost() <-chan bbtfleet.HostID { return n.lost }

// reportLost reports that the connection to a host was lost or could not be
// opened.
func (n *Node) reportLost(host bbtfleet.HostID) {
	n.recorder.Add("peer-connections-lost", 1)
	select {
	case n.lost <- host:
	case <-n.ctx.Done():
	}
}

// SetHosts replaces the known hosts and their peer addresses.
func (n *Node) SetHosts(hosts []bbtfleet.Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.addrs)
	for _, h := range hosts {
		n.addrs[h.ID()] = h.PeerAddr()
	}
}

// Send queues a message and reports whether it was queued, which fails for a full
// queue, or an unknown host that has no open connection to this one. A queued message may still be lost.
func (n *Node) Send(to bbtfleet.HostID, msg any) bool {
	l, ok := n.link(to)
	if !ok || !l.enqueue(msg) {
		n.recorder.Add("peer-messages-dropped", 1)
		return false
	}
	return true
}

// Connect connects to a host, unless there is a connection, so that a later
// message arrives without the delay of connecting.
func (n *Node) Connect(to bbtfleet.HostID) {
	if l, ok := n.link(to); ok {
		l.enqueue(connectOnly{})
	}
}

// Reconnect makes the next message to a host use a new connection. The old one
// may be unresponsive, but stays open so that pending responses can still arrive.
func (n *Node) Reconnect(host bbtfleet.HostID) {
	n.mu.Lock()
	l := n.links[host]
	n.mu.Unlock()
	if l != nil {
		l.dropConn()
	}
}

// Disconnect closes the connection to a host that is considered dead. Exchanges on
// it fail, and Lost reports the host.
func (n *Node) Disconnect(host bbtfleet.HostID) {
	n.mu.Lock()
	l := n.links[host]
	n.mu.Unlock()
	if l != nil {
		l.close("host is dead")
	}
}

// Open opens an exchange with a host. The peer sees it only when the first
// message is sent.
func (n *Node) Open(ctx context.Context, to bbtfleet.HostID) (*Exchange, error) {
	l, ok := n.link(to)
	if !ok {
		return nil, ErrUnknownHost
	}
	conn, err := l.connect(ctx)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", to)
	}
	stream, err := conn.OpenStream()
	if err != nil {
		return nil, errors.Wrapf(err, "open stream to %s", to)
	}
	return newExchange(to, stream, n.codec), nil
}

// Close closes all connections, notifying the peers, and waits for the node's
// goroutines.
func (n *Node) Close() error {
	n.cancel()
	n.wg.Wait()
	err := errors.CombineErrors(n.listener.Close(), n.transport.Close())
	return errors.CombineErrors(err, n.transport.Conn.Close())
}

// link returns the link to a host. It fails if the host is unknown and has no open
// connection to this one.
func (n *Node) link(to bbtfleet.HostID) (*link, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, known := n.addrs[to]; known {
		return n.linkTo(to), true
	}
	l := n.links[to]
	return l, l != nil && l.connected()
}

// linkTo returns the link to a host, creating it on first use. The caller holds mu.
func (n *Node) linkTo(host bbtfleet.HostID) *link {
	l := n.links[host]
	if l == nil {
		l = newLink(n, host)
		n.links[host] = l
		n.wg.Go(l.run)
	}
	return l
}

// connectionAccepted makes the link to a host, known or not, send on a connection that
// the host has opened.
func (n *Node) connectionAccepted(host bbtfleet.HostID, conn *quic.Conn) {
	n.mu.Lock()
	l := n.linkTo(host)
	n.mu.Unlock()
	l.setConn(conn)
}

// connectionClosed makes the link to a host open another connection, or ends it if the
// host is unknown.
func (n *Node) connectionClosed(host bbtfleet.HostID, conn *quic.Conn) {
	n.mu.Lock()
	l := n.links[host]
	_, known := n.addrs[host]
	n.mu.Unlock()
	if l == nil || !l.clearConn(conn) {
		return
	}
	if known {
		n.reportLost(host)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, known := n.addrs[host]; !known && n.links[host] == l && !l.connected() {
		delete(n.links, host)
		close(l.ended)
	}
}

// peerAddr returns a host's peer address.
func (n *Node) peerAddr(host bbtfleet.HostID) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a, ok := n.addrs[host]
	return a, ok
}

// run accepts connections until the node is closed.
func (n *Node) run() {
	for {
		conn, err := n.listener.Accept(n.ctx)
		if err != nil {
			return
		}
		host, err := n.identity.peerID(conn)
		if err != nil {
			n.recorder.Add("peers-refused", 1)
			conn.CloseWithError(0, err.Error())
			continue
		}
		n.connectionAccepted(host, conn)
		n.startSession(host, conn)
	}
}

// startSession starts the goroutines that serve a connection.
func (n *Node) startSession(host bbtfleet.HostID, conn *quic.Conn) {
	s := &session{node: n, host: host, conn: conn}
	n.wg.Go(s.run)
	n.wg.Go(s.loop)
}
