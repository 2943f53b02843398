package bbtgateway

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	connectTimeout = 600 * time.Millisecond
	// silenceTimeout is after how long unacknowledged bytes end a connection.
	silenceTimeout = 3 * time.Second
	keepAliveIdle  = 2 * time.Second
	keepAliveCount = 3
	maxAnswerHead  = 64 << 10
	// keptIdle is after how long without a request a kept connection is closed,
	// and keptEach how many stay open to an endpoint. Endpoints bound how many
	// connections they take from all hosts together.
	keptIdle = 4 * time.Second
	keptEach = 2
)

// newTransport returns a transport that opens a connection for each dispatch:
// nothing is ever sent twice, and no byte of a former answer is read.
func newTransport() *http.Transport {
	t := newKeptTransport()
	t.DisableKeepAlives = true
	return t
}

// newKeptTransport returns a transport that keeps connections for requests that
// may be repeated. A connection may go at the moment at which a request is sent
// over it, and the request may have run then.
func newKeptTransport() *http.Transport {
	d := &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: keepAlive(),
		Control:         control,
	}
	return &http.Transport{
		DialContext:            d.DialContext,
		MaxIdleConnsPerHost:    keptEach,
		IdleConnTimeout:        keptIdle,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHead,
		ReadBufferSize:         8 << 10,
		WriteBufferSize:        8 << 10,
	}
}

// keepAlive returns the probes that find a connection that went silent.
func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: time.Second, Count: keepAliveCount}
}

// Listen returns a listener for callers whose connections are found out when
// they go silent.
func Listen(addr string) (net.Listener, error) {
	lc := net.ListenConfig{Control: control, KeepAliveConfig: keepAlive()}
	return lc.Listen(context.Background(), "tcp", addr)
}

// control bounds the time for which bytes may stay unacknowledged.
func control(_, _ string, c syscall.RawConn) error {
	var err error
	if cerr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
	}); cerr != nil {
		return cerr
	}
	return err
}
