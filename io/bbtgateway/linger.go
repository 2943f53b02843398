package bbtgateway

import (
	"io"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// lingerTimeout is the longest time for which a closed connection still reads.
	lingerTimeout = 5 * time.Second
	// lingerInterval is the time between two looks at whether the caller has everything.
	lingerInterval = 200 * time.Millisecond
	// maxLingerBytes is the number of bytes read within an interval, at most.
	maxLingerBytes = 1 << 20
)

// Close closes the connection. Bytes that the caller has sent and that nobody reads, such
// as an early request, would make the system reset the connection and drop the rest of an
// answer. So reading goes on until the caller has the whole answer. Close does not wait
// for that.
func (c *callerConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return net.ErrClosed
	}
	c.isClosed = true
	s, err := c.sendState()
	if err != nil || s.done && !c.hasUnread() {
		return c.closeNow()
	}
	if err := c.tcp.CloseWrite(); err != nil { // the caller has reset the connection
		return c.closeNow()
	}
	if c.intake != nil {
		c.intake.enter(c, lingering)
	}
	go c.run()
	return nil
}

// closeNow closes the connection at once.
func (c *callerConn) closeNow() error {
	if c.intake != nil {
		c.intake.remove(c)
	}
	return c.tcp.Close()
}

// hasUnread reports whether bytes of the caller wait to be read.
func (c *callerConn) hasUnread() bool {
	n := 0
	_ = c.raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }) // fails if the connection is closed
	return n > 0
}

// run reads what the caller still sends, until it closes or has acknowledged the whole
// answer, and closes the connection.
func (c *callerConn) run() {
	defer c.closeNow()
	for end := time.Now().Add(lingerTimeout); time.Now().Before(end); {
		if c.tcp.SetReadDeadline(time.Now().Add(lingerInterval)) != nil {
			return
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(c.tcp, maxLingerBytes)); !errors.Is(err, os.ErrDeadlineExceeded) {
			return // the caller has closed, or sends without end
		}
		if s, err := c.sendState(); err != nil || s.done {
			return
		}
	}
}
