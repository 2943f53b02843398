package bbthttp

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bluebelltray"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtverdict"
	"github.com/cockroachdb/errors"
)

// errPermitExpired means that the permit of a dispatch expired before the dispatch
// was sent.
var errPermitExpired = errors.New("permit expired before the first byte was sent")

// Backend sends calls to endpoints. Each call has its own connection, so that no
// call is sent on a connection that has stopped responding and net/http does not
// retry a call.
type Backend struct {
	dialer      net.Dialer
	idleTimeout time.Duration
}

var _ bluebelltray.Backend = (*Backend)(nil)

// BackendOption configures a Backend.
type BackendOption func(*Backend)

// WithIdleTimeout sets the timeout of each read from and write to an endpoint.
func WithIdleTimeout(d time.Duration) BackendOption { return func(b *Backend) { b.idleTimeout = d } }

// NewBackend returns a Backend with the default timeouts, unless opts change them.
func NewBackend(opts ...BackendOption) *Backend {
	b := &Backend{
		dialer:      net.Dialer{Timeout: DefaultDialTimeout},
		idleTimeout: DefaultIdleTimeout,
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Do sends the call and returns the response once its headers have arrived. The
// verdict of its error is NotRun if and only if no byte was passed to the
// connection or the endpoint refused the call.
func (b *Backend) Do(ctx context.Context, ep bbtfleet.Endpoint, call bluebelltray.Call, notAfter time.Time) (bluebelltray.Response, error) {
	conn, err := b.dialer.DialContext(ctx, "tcp", ep.Addr())
	if err != nil {
		return nil, bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonEndpointLost, bbtverdict.WithCause(err))
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	resp, err := b.exchange(conn, ep, call, notAfter)
	if err != nil {
		stop()
		conn.Close()
		return nil, err
	}
	resp.stop = stop
	return resp, nil
}

// exchange writes the call and reads the headers of the response.
func (b *Backend) exchange(conn net.Conn, ep bbtfleet.Endpoint, call bluebelltray.Call, notAfter time.Time) (*response, error) {
	req, err := newRequest(ep, call)
	if err != nil {
		return nil, bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonBadRequest, bbtverdict.WithCause(err))
	}
	epConn := &endpointConn{Conn: conn, idleTimeout: b.idleTimeout, notAfter: notAfter}
	if err := req.Write(epConn); err != nil {
		return nil, epConn.withVerdict(err)
	}
	br := bufio.NewReader(epConn)
	resp, err := http.ReadResponse(br, req)
	if err != nil {
		return nil, epConn.withVerdict(err)
	}
	if isRefusal(ep, resp.StatusCode) {
		return nil, bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonEndpointRefused)
	}
	return newResponse(conn, resp, epConn), nil
}

// newRequest returns the HTTP request of a call. It asks the endpoint to close the
// connection after the response.
func newRequest(ep bbtfleet.Endpoint, call bluebelltray.Call) (*http.Request, error) {
	req, err := http.NewRequest(call.Method(), "http://"+ep.Addr()+call.Path(), bytes.NewReader(call.Body()))
	if err != nil {
		return nil, err
	}
	if call.ContentType() != "" {
		req.Header.Set(headerContentType, call.ContentType())
	}
	req.Close = true
	return req, nil
}

// isRefusal reports whether the status code means that a model engine did not
// execute the call. The status code of a plain service is part of its response and
// is never a refusal.
func isRefusal(ep bbtfleet.Endpoint, status int) bool {
	if ep.Kind() != bbtfleet.ModelEngine {
		return false
	}
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// incarnation returns the endpoint's incarnation from the response headers, or zero
// if it is missing or invalid.
func incarnation(h http.Header) bbtfleet.Incarnation {
	n, err := strconv.ParseUint(h.Get(headerIncarnation), 10, 64)
	if err != nil {
		return 0
	}
	return bbtfleet.Incarnation(n)
}

// isEventStream reports whether the content type is that of an event stream.
func isEventStream(contentType string) bool { return strings.HasPrefix(contentType, typeEventStream) }
