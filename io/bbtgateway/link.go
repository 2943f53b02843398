package bbtgateway

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// link observes the connection of one dispatch. The zero value has seen none.
type link struct {
	open   atomic.Bool // there is a connection, so something may have been sent
	reused atomic.Bool // it has carried other requests
}

// trace returns a context under which the transport tells the link of its
// connection.
func (l *link) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) {
		l.open.Store(true)
		l.reused.Store(c.Reused)
	}})
}
