package bbtgateway

import (
	"bytes"
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// ackCheckInterval is the time between two looks at a connection with bytes that its
// caller has not acknowledged.
const ackCheckInterval = time.Second

// closeDelay is for how long a listener that closes accepts the connections that wait.
const closeDelay = 100 * time.Millisecond

// Listen returns a TCP listener whose connections are closed when their callers no longer
// acknowledge what is sent to them. A caller that reads nothing keeps its connection:
// TCP_USER_TIMEOUT would close it, too. An intake bounds the connections; nil for none.
func Listen(addr string, in *Intake) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: tcpKeepAliveConfig()}
	l, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &callerListener{Listener: l, intake: in}, nil
}

// callerListener is the listener that Listen returns.
type callerListener struct {
	net.Listener
	intake  *Intake // nil if connections are not bounded
	closing atomic.Bool
}

// Close closes the listener once the connections that wait to be accepted are: the system
// would reset them, though their callers may have sent a request. A second call closes it
// at once.
func (l *callerListener) Close() error {
	tcp, ok := l.Listener.(*net.TCPListener)
	if !ok || l.closing.Swap(true) {
		return l.Listener.Close()
	}
	return tcp.SetDeadline(time.Now().Add(closeDelay))
}

// Accept waits for the next connection that the intake has room for.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if l.closing.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
			_ = l.Listener.Close() // fails if it is closed
			return nil, net.ErrClosed
		}
		if err != nil {
			return nil, err
		}
		accepted, err := l.wrap(conn)
		if err != nil {
			return nil, err
		}
		c, ok := accepted.(*callerConn)
		if !ok || l.intake == nil {
			return accepted, nil
		}
		c.intake = l.intake
		if l.intake.add(c) {
			return c, nil
		}
		_ = c.tcp.Close()
	}
}

// wrap returns the connection that watches a caller. On a system that does not tell what a
// peer has acknowledged, TCP_USER_TIMEOUT bounds the life of a dead one.
func (l *callerListener) wrap(conn net.Conn) (net.Conn, error) {
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

	intake *Intake // nil if the connection is not bounded
	hold   hold    // of the intake

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
	if c.intake != nil {
		c.intake.setWriting(c, time.Now())
		defer c.intake.setWriting(c, time.Time{})
	}
	return c.Conn.Write(p)
}

// Read reads what the caller sends, as far as the intake has room for the head of its
// request.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.intake != nil && !c.intake.received(c, n, bytes.Count(p[:n], []byte{'\n'})) {
		return 0, errNoMemory
	}
	return n, err
}

// errNoMemory reports a request whose head the intake has no room for.
var errNoMemory = errors.New("no memory left for callers' requests")

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
		_ = c.closeNow()
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
