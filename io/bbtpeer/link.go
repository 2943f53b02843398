package bbtpeer

import (
	"context"
	"net"
	"sync"
	"time"

	"bluebelltray/core/bbtfleet"
	"github.com/quic-go/quic-go"
)

// link sends messages to one host, over a connection that either side opened.
type link struct {
	node  *Node
	host  bbtfleet.HostID
	queue chan any

	mu     sync.Mutex
	conn   *quic.Conn
	stream *quic.SendStream
}

// newLink returns a link without a connection.
func newLink(n *Node, host bbtfleet.HostID) *link {
	return &link{node: n, host: host, queue: make(chan any, DefaultQueueSize)}
}

// offer queues a message unless the queue is full.
func (l *link) offer(msg any) bool {
	select {
	case l.queue <- msg:
		return true
	default:
		return false
	}
}

// run sends queued messages until the node is closed.
func (l *link) run() {
	for {
		select {
		case <-l.node.ctx.Done():
			return
		case msg := <-l.queue:
			l.send(msg)
		}
	}
}

// send writes one message, on a new connection if the old one is gone.
func (l *link) send(msg any) {
	data, err := l.node.codec.Encode(msg)
	if err != nil {
		l.node.recorder.Add("peer-messages-dropped", 1)
		return
	}
	stream, err := l.open()
	if err == nil {
		_, err = stream.Write(data)
	}
	if err != nil {
		l.node.recorder.Add("peer-messages-dropped", 1)
		l.close("write failed")
		l.node.report(l.host)
		l.pause()
		return
	}
	l.node.recorder.Add("peer-bytes-sent", int64(len(data)))
}

// pause waits before the next connection attempt.
func (l *link) pause() {
	t := time.NewTimer(redialPause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-l.node.ctx.Done():
	}
}

// open returns the link's message stream.
func (l *link) open() (*quic.SendStream, error) {
	conn, err := l.connection(l.node.ctx)
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

// connection returns a live connection to the host.
func (l *link) connection(ctx context.Context) (*quic.Conn, error) {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn != nil && conn.Context().Err() == nil {
		return conn, nil
	}
	addr, ok := l.node.addr(l.host)
	if !ok {
		return nil, ErrUnknownHost
	}
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeLimit)
	defer cancel()
	conn, err = l.node.transport.Dial(ctx, udp, l.node.identity.client(l.host), quicConfig())
	if err != nil {
		l.node.recorder.Add("peer-connects-failed", 1)
		return nil, err
	}
	l.node.recorder.Add("peer-connects", 1)
	l.node.serve(l.host, conn)
	l.adopt(conn)
	return conn, nil
}

// adopt makes conn the connection that the link sends on.
func (l *link) adopt(conn *quic.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn, l.stream = conn, nil
}

// release forgets conn, which has ended, and reports whether the link was
// sending on it.
func (l *link) release(conn *quic.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn {
		return false
	}
	l.conn, l.stream = nil, nil
	return true
}

// detach makes the link send on a new connection.
func (l *link) detach() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn, l.stream = nil, nil
}

// close ends the link's connection, if there is one.
func (l *link) close(why string) {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn != nil {
		conn.CloseWithError(0, why)
	}
}
