package bbtgateway

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// connTrace records how the transport got the connection of a dispatch.
type connTrace struct {
	connected atomic.Bool // a connection was obtained, so bytes may have been sent
	reused    atomic.Bool // the connection has carried earlier requests
	received  atomic.Bool // bytes of a response have arrived
	conn      atomic.Pointer[net.Conn]
	onConn    func()        // called when a connection is obtained; nil for none
	written   chan struct{} // closed when the request is written, or cannot be
	writeErr  error         // set before written is closed
}

// closeConn closes the connection, so that its endpoint stops to run the request, and
// no further one is sent over it. The transport takes a connection whose response has
// no body for idle, even if this is a response to another request.
func (t *connTrace) closeConn() {
	if conn := t.conn.Load(); conn != nil {
		_ = (*conn).Close() // fails if the endpoint has closed it
	}
}

// withTrace returns a context that makes the transport report its connection to
// t.
func (t *connTrace) withTrace(ctx context.Context) context.Context {
	t.written = make(chan struct{})
	var once sync.Once
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(c httptrace.GotConnInfo) {
			t.conn.Store(&c.Conn)
			t.connected.Store(true)
			t.reused.Store(c.Reused)
			if t.onConn != nil {
				t.onConn()
			}
		},
		GotFirstResponseByte: func() { t.received.Store(true) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			once.Do(func() {
				t.writeErr = info.Err
				close(t.written)
			})
		},
	})
}
