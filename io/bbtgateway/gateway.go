// Package bbtgateway serves callers of a platform's routes: it reads their
// requests, sends them where the scheduler says, and passes the answers on.
package bbtgateway

import (
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
	// defaultLeft is the time of a caller that states none.
	defaultLeft = 30 * time.Second
	// noConfigReturn is when a caller comes again that found a host without a
	// configuration.
	noConfigReturn = 300 * time.Millisecond
	// bodyReserve is what is allocated for a body before its length is known.
	bodyReserve = 4 << 10
)

// Gateway is the handler of callers' requests.
type Gateway struct {
	edge      *bbtedge.Edge
	dialect   bluebelltray.Dialect
	counters  *bbtmetric.Counters
	latencies *bbtmetric.Latencies
	log       *zap.Logger
	once      *http.Transport // for requests that run at most once
	kept      *http.Transport // for those that may be repeated
	active    atomic.Int64
}

// Option sets an optional part of a Gateway.
type Option func(*Gateway)

// WithLogger sets where the story of each request is logged.
func WithLogger(l *zap.Logger) Option { return func(g *Gateway) { g.log = l } }

// WithCounters sets the metrics that the gateway counts in.
func WithCounters(c *bbtmetric.Counters) Option { return func(g *Gateway) { g.counters = c } }

// WithLatencies sets the histograms of how long requests take.
func WithLatencies(l *bbtmetric.Latencies) Option { return func(g *Gateway) { g.latencies = l } }

// New returns a gateway in front of an edge.
func New(e *bbtedge.Edge, d bluebelltray.Dialect, opts ...Option) *Gateway {
	g := &Gateway{
		edge: e, dialect: d, counters: bbtmetric.New(), latencies: bbtmetric.NewLatencies(),
		log: zap.NewNop(), once: newTransport(), kept: newKeptTransport(),
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// ActiveRequests returns how many requests are being served.
func (g *Gateway) ActiveRequests() int64 { return g.active.Load() }

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	g.counters.Add("requests", 1)
	x := &exchange{gateway: g, w: w, r: r, arrived: time.Now()}
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

// exchange is one request of a caller and its answer.
type exchange struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time

	index    *bbtcatalog.Index
	route    *bbtcatalog.Route
	account  *bbtcatalog.Account
	head     bluebelltray.RequestHead
	body     []byte
	deadline time.Time
	service  string

	flight   *bbtedge.Flight
	failed   *failure // an endpoint's own failure, until another one answers
	offers   int      // endpoints that may have run it
	answered bool     // the head of an answer has been sent to the caller
	events   int      // passed on
	lastID   string   // of the last event passed on
	story    []string // endpoints and outcomes, for the log
	status   int
	reason   string
	grounds  bbtentry.Decision // of the owner's last decision
	retry    time.Duration     // after which the caller was told to come again
	granted  time.Time
	first    time.Time // first byte of the answer to the caller
}
