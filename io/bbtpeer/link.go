package bbtpeer

import (
	"context"
	"net"
	"sync"
	"time"

	"bluebelltray/core/bbtfleet"
	"github.com/quic-go/quic-go"
)

// link sends messages to one host over a connection that either side opened.
type link struct {
	node  *Node
	host  bbtfleet.HostID
	queue chan any
	ended chan struct{} // closed when the link is of no use any longer

	mu     sync.Mutex
	conn   *quic.Conn
	stream *quic.SendStream
}

// connectOnly is queued in place of a message to connect to the host.
type connectOnly struct{}

// newLink returns a link that is not yet connected.
func newLink(n *Node, host bbtfleet.HostID) *link {
	return &link{node: n, host: host, queue: make(chan any, sendQueueSize), ended: make(chan struct{})}
}

// enqueue queues a message and reports whether the queue had room.
func (l *link) enqueue(msg any) bool {
	select {
	case l.queue <- msg:
		return true
	default:
		return false
	}
}

// run sends queued messages until the link has ended or the node is closed.
func (l *link) run() {
	for {
		select {
		case <-l.node.ctx.Done():
			return
		case <-l.ended:
			return
		case msg := <-l.queue:
			l.send(msg)
		}
	}
}

// send writes one message, connecting first if there is no live connection.
func (l *link) send(msg any) {
	if _, ok := msg.(connectOnly); ok {
		_, _ = l.connect(l.node.ctx) // counted by connect; a message tries again
		return
	}
	data, err := l.node.codec.Encode(msg)
	if err != nil {
		l.node.recorder.Add("peer-messages-dropped", 1)
		return
	}
	stream, err := l.messageStream()
	if err == nil {
		_, err = stream.Write(data)
	}
	if err != nil {
		l.node.recorder.Add("peer-messages-dropped", 1)
		l.close("write failed")
		l.node.reportLost(l.host)
		l.waitRedialDelay()
		return
	}
	l.node.recorder.Add("peer-bytes-sent", int64(len(data)))
}

// waitRedialDelay delays the next connection attempt.
func (l *link) waitRedialDelay() {
	t := time.NewTimer(redialDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-l.node.ctx.Done():
	}
}

// messageStream returns the stream that messages are written to, opening it if
// necessary.
func (l *link) messageStream() (*quic.SendStream, error) {
	conn, err := l.connect(l.node.ctx)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stream != nil && l.conn == conn {
		return l.stream, nil
	}
	stream, err := conn.OpenUniStream()
	if err != nil {
		return nil, err
	}
	if l.conn == conn {
		l.stream = stream
	}
	return stream, nil
}

// connect returns the live connection to the host, dialing if there is none.
func (l *link) connect(ctx context.Context) (*quic.Conn, error) {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn != nil && conn.Context().Err() == nil {
		return conn, nil
	}
	addr, ok := l.node.peerAddr(l.host)
	if !ok {
		return nil, ErrUnknownHost
	}
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err = l.node.transport.Dial(ctx, udpAddr, l.node.identity.clientConfig(l.host), quicConfig())
	if err != nil {
		l.node.recorder.Add("peer-connects-failed", 1)
		return nil, err
	}
	l.node.recorder.Add("peer-connects", 1)
	l.node.startSession(l.host, conn)
	l.setConn(conn)
	return conn, nil
}

// connected reports whether there is a live connection to the host.
func (l *link) connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn != nil && l.conn.Context().Err() == nil
}

// setConn makes the link send on conn.
func (l *link) setConn(conn *quic.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn, l.stream = conn, nil
}

// clearConn removes conn, which has been closed, and reports whether the link
// was sending on it.
func (l *link) clearConn(conn *quic.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn {
		return false
	}
	l.conn, l.stream = nil, nil
	return true
}

// dropConn makes the next message use a new connection. The old one is not
// closed.
func (l *link) dropConn() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn, l.stream = nil, nil
}

// close closes the link's connection, if there is one.
func (l *link) close(reason string) {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn != nil {
		conn.CloseWithError(0, reason)
	}
}
