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

// errPermitExpired says that a dispatch came after its permit's expiry.
var errPermitExpired = errors.New("permit expired before the first byte")

// Backend sends calls to endpoints, each on a connection of its own, so that no
// call meets a connection that has gone silent and no library repeats it.
type Backend struct {
	dialer  net.Dialer
	silence time.Duration
}

var _ bluebelltray.Backend = (*Backend)(nil)

// BackendOption sets an optional part of a Backend.
type BackendOption func(*Backend)

// WithIdleTimeout sets how long an endpoint may send nothing.
func WithIdleTimeout(d time.Duration) BackendOption { return func(b *Backend) { b.silence = d } }

// NewBackend returns a Backend with the default limits.
func NewBackend(opts ...BackendOption) *Backend {
	b := &Backend{
		dialer:  net.Dialer{Timeout: DefaultDialTimeout},
		silence: DefaultIdleTimeout,
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Do sends the call. Its error says not-run exactly when no byte was handed to
// the connection or the endpoint refused the call.
func (b *Backend) Do(ctx context.Context, ep bbtfleet.Endpoint, call bluebelltray.Call, notAfter time.Time) (bluebelltray.Response, error) {
	conn, err := b.dialer.DialContext(ctx, "tcp", ep.Addr())
	if err != nil {
		return nil, bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonEndpointLost, bbtverdict.WithCause(err))
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	ans, err := b.exchange(conn, ep, call, notAfter)
	if err != nil {
		stop()
		conn.Close()
		return nil, err
	}
	ans.stop = stop
	return ans, nil
}

// exchange writes the call and reads the head of the answer.
func (b *Backend) exchange(conn net.Conn, ep bbtfleet.Endpoint, call bluebelltray.Call, notAfter time.Time) (*answer, error) {
	req, err := newRequest(ep, call)
	if err != nil {
		return nil, bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonBadRequest, bbtverdict.WithCause(err))
	}
	guarded := &progressConn{Conn: conn, silence: b.silence, notAfter: notAfter}
	if err := req.Write(guarded); err != nil {
		return nil, guarded.verdict(err)
	}
	br := bufio.NewReader(guarded)
	resp, err := http.ReadResponse(br, req)
	if err != nil {
		return nil, guarded.verdict(err)
	}
	if refused(ep, resp.StatusCode) {
		return nil, bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonEndpointRefused)
	}
	return newAnswer(conn, resp, guarded), nil
}

// newRequest returns the HTTP request of a call, which asks for the connection
// to be closed after its answer.
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

// refused reports whether the status is a model engine's statement that it did
// not run the call. A plain service's status is its answer.
func refused(ep bbtfleet.Endpoint, status int) bool {
	if ep.Kind() != bbtfleet.ModelEngine {
		return false
	}
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// incarnation returns the endpoint's incarnation, or zero if it states none.
func incarnation(h http.Header) bbtfleet.Incarnation {
	n, err := strconv.ParseUint(h.Get(headerIncarnation), 10, 64)
	if err != nil {
		return 0
	}
	return bbtfleet.Incarnation(n)
}

// isEvents reports whether the answer is a stream of events.
func isEvents(contentType string) bool { return strings.HasPrefix(contentType, typeEvents) }
