// Package bbtgateway is an HTTP reverse proxy: it reads requests of callers,
// forwards them to the endpoints that the scheduler selects, and returns the
// responses.
package bbtgateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"bluebelltray"
	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtentry"
	"bluebelltray/io/bbtedge"
	"bluebelltray/io/bbtmetric"
	"go.uber.org/zap"
)

const (
	// defaultTimeout applies to requests that state no deadline.
	defaultTimeout = 30 * time.Second
	// noConfigRetryAfter is returned to callers while the host has no
	// configuration.
	noConfigRetryAfter = 300 * time.Millisecond
	// noMemoryRetryAfter is returned to callers while other callers' requests take all
	// memory that there is for them.
	noMemoryRetryAfter = 300 * time.Millisecond
	// initialBodyBytes is the initial buffer size for a body.
	initialBodyBytes = 4 << 10
)

// Gateway is the http.Handler for requests of callers.
type Gateway struct {
	edge      *bbtedge.Edge
	dialect   bluebelltray.Dialect
	counters  *bbtmetric.Counters
	latencies *bbtmetric.Latencies
	log       *zap.Logger
	singleUse http.RoundTripper // for requests that run at most once; opens a connection for each dispatch
	keepAlive http.RoundTripper // for requests that may be repeated; reuses connections
	active    atomic.Int64
	ignored   ignoredHeaders
	stopped   context.Context // done once unanswered requests end
	stop      context.CancelFunc
}

// Option configures a Gateway.
type Option func(*Gateway)

// WithLogger sets the logger, which gets one line per request.
func WithLogger(l *zap.Logger) Option { return func(g *Gateway) { g.log = l } }

// WithCounters sets the counters that the gateway updates.
func WithCounters(c *bbtmetric.Counters) Option { return func(g *Gateway) { g.counters = c } }

// WithLatencies sets the histograms of request latencies.
func WithLatencies(l *bbtmetric.Latencies) Option { return func(g *Gateway) { g.latencies = l } }

// New returns a gateway that submits requests to the scheduler of e.
func New(e *bbtedge.Edge, d bluebelltray.Dialect, opts ...Option) *Gateway {
	g := &Gateway{
		edge: e, dialect: d, counters: bbtmetric.New(), latencies: bbtmetric.NewLatencies(),
		log: zap.NewNop(), singleUse: newSingleUseTransport(), keepAlive: newKeepAliveTransport(),
	}
	g.stopped, g.stop = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// ActiveRequests returns the number of requests in progress.
func (g *Gateway) ActiveRequests() int64 { return g.active.Load() }

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	g.counters.Add("requests", 1)
	x := &exchange{gateway: g, w: w, r: r, conn: connOf(r), receivedAt: time.Now()}
	defer x.log()
	if g.edge.Leaving() {
		w.Header().Set("Connection", "close")
	}
	if err := x.accept(); err != nil {
		x.refuse(err)
		return
	}
	x.serve()
}

// exchange is a request of a caller and its response.
type exchange struct {
	gateway    *Gateway
	w          http.ResponseWriter
	r          *http.Request
	conn       *callerConn // nil if no intake bounds it
	receivedAt time.Time

	index    *bbtcatalog.Index
	route    *bbtcatalog.Route
	account  *bbtcatalog.Account
	head     bluebelltray.RequestHead
	body     []byte
	deadline time.Time
	service  string

	request      *bbtedge.Request
	relocated    *roundTrip     // started at another endpoint while the last dispatch went on; nil if there is none
	fallback     *errorResponse // latest error response that is kept; returned if no further dispatch is granted
	addrs        []string       // of the endpoints that the request was dispatched to
	possibleRuns int            // dispatches whose endpoint may have run the request
	headerSent   bool           // response header has been sent to the caller
	answering    atomic.Bool    // as headerSent, for other goroutines
	events       int            // forwarded to the caller
	position     position       // of the stream, as forwarded
	dispatchLog  []string       // endpoint and outcome of each dispatch
	status       int
	reason       string            // why the request was refused, aborted or not dispatched again
	decision     bbtentry.Decision // state on which the scheduler based the latest dispatch or refusal
	retryAfter   time.Duration     // sent to the caller with a refusal
	dispatchedAt time.Time         // start of the latest dispatch
	firstByteAt  time.Time         // when the response header was sent to the caller
}
