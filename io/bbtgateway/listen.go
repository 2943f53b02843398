package bbtgateway

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ackCheckInterval is the time between two looks at a connection with bytes that its
// caller has not acknowledged.
const ackCheckInterval = time.Second

// Listen returns a TCP listener whose connections are closed when their callers no longer
// acknowledge what is sent to them. A caller that reads nothing keeps its connection:
// TCP_USER_TIMEOUT would close it, too.
func Listen(addr string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: tcpKeepAliveConfig()}
	l, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return callerListener{l}, nil
}

// callerListener is the listener that Listen returns.
type callerListener struct{ net.Listener }

// Accept waits for the next connection. On a system that does not tell what a peer has
// acknowledged, TCP_USER_TIMEOUT bounds the life of a dead one.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return conn, nil // closed
	}
	c := &callerConn{Conn: conn, tcp: tcp, raw: raw}
	if _, err := c.sendState(); err != nil {
		_ = setUserTimeout("", "", raw) // not offered either
		return conn, nil
	}
	return c, nil
}

// callerConn is a caller's connection. It is reset when the caller has not acknowledged
// anything for unackedTimeout though it should have. It is safe for concurrent use. It
// has no ReadFrom, so that all bytes pass Write.
type callerConn struct {
	net.Conn
	tcp *net.TCPConn
	raw syscall.RawConn

	mu         sync.Mutex
	timer      *time.Timer // nil until the first write
	isArmed    bool
	isClosed   bool      // by the server; the connection may still linger
	writes     int       // in progress
	unanswered time.Time // since when the caller owes an acknowledgement; zero if it owes none
}

// Write writes p and watches whether it is acknowledged.
func (c *callerConn) Write(p []byte) (int, error) {
	c.beginWrite()
	defer c.endWrite()
	return c.Conn.Write(p)
}

// CloseWrite shuts down the sending side. The server of net/http looks for this method.
func (c *callerConn) CloseWrite() error { return c.tcp.CloseWrite() }

// beginWrite starts the checks unless they run.
func (c *callerConn) beginWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes++
	if c.isArmed {
		return
	}
	c.isArmed, c.unanswered = true, time.Time{}
	if c.timer == nil {
		c.timer = time.AfterFunc(ackCheckInterval, c.check)
		return
	}
	c.timer.Reset(ackCheckInterval)
}

// endWrite lets the checks end when all is acknowledged.
func (c *callerConn) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
}

// check resets the connection if its caller is dead, and looks again later unless all is
// acknowledged.
func (c *callerConn) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, err := c.sendState()
	now := time.Now()
	switch {
	case err != nil, s.done && c.writes == 0: // closed, or nothing to acknowledge
		c.isArmed = false
		return
	case !s.unanswered:
		c.unanswered = time.Time{}
	case c.unanswered.IsZero():
		c.unanswered = now
	case min(now.Sub(c.unanswered), s.sinceAck) >= unackedTimeout:
		c.isArmed = false
		_ = c.tcp.SetLinger(0) // fails if it is closed
		_ = c.tcp.Close()
		return
	}
	c.timer.Reset(ackCheckInterval)
}

// sendState is the state of a connection's sending side.
type sendState struct {
	done       bool          // all is sent and acknowledged
	unanswered bool          // bytes or probes were sent after the last acknowledgement
	sinceAck   time.Duration // time since the last acknowledgement
}

// sendState returns the state of the sending side. It fails if the connection is closed.
func (c *callerConn) sendState() (sendState, error) {
	var info *unix.TCPInfo
	var err error
	if controlErr := c.raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); controlErr != nil {
		return sendState{}, controlErr
	}
	if err != nil {
		return sendState{}, err
	}
	return sendState{
		done:       info.Unacked == 0 && info.Notsent_bytes == 0,
		unanswered: info.Probes > 0 || info.Unacked > 0 && info.Last_data_sent < info.Last_ack_recv,
		sinceAck:   time.Duration(info.Last_ack_recv) * time.Millisecond,
	}, nil
}
