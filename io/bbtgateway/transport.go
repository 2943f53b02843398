package bbtgateway

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	connectTimeout = 600 * time.Millisecond
	// unackedTimeout is the time after which a connection is closed if its peer has
	// acknowledged nothing of what was sent.
	unackedTimeout         = 3 * time.Second
	tcpKeepAliveIdle       = 2 * time.Second
	tcpKeepAliveCount      = 3
	maxResponseHeaderBytes = 64 << 10
	// idleConnTimeout is the time after which an idle connection is closed, and
	// maxIdleConnsPerEndpoint the number kept open to an endpoint. Both are low
	// because endpoints limit their connections from all hosts together.
	idleConnTimeout         = 4 * time.Second
	maxIdleConnsPerEndpoint = 2
)

// newSingleUseTransport returns a transport that opens a connection for each
// dispatch, so that net/http never resends a request and no bytes of an earlier
// response are read.
func newSingleUseTransport() *http.Transport {
	t := newKeepAliveTransport()
	t.DisableKeepAlives = true
	return t
}

// newKeepAliveTransport returns a transport that reuses connections. It is only
// for requests that may be repeated: an idle connection can close just as a
// request is sent over it, and the endpoint may have run the request.
func newKeepAliveTransport() *http.Transport {
	d := &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: tcpKeepAliveConfig(),
		Control:         setUserTimeout,
	}
	return &http.Transport{
		DialContext:            d.DialContext,
		MaxIdleConnsPerHost:    maxIdleConnsPerEndpoint,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         8 << 10,
		WriteBufferSize:        8 << 10,
	}
}

// tcpKeepAliveConfig returns the TCP keep-alive settings that detect dead
// connections.
func tcpKeepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: tcpKeepAliveIdle, Interval: time.Second, Count: tcpKeepAliveCount}
}

// setUserTimeout sets the time after which a connection with unacknowledged
// bytes is closed.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	if controlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	}); controlErr != nil {
		return controlErr
	}
	return err
}
