package bbtapp

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"bluebelltray"
	"bluebelltray/io/bbtedge"
	"bluebelltray/io/bbtgateway"
	"bluebelltray/io/bbtmetric"
	"bluebelltray/io/bbtpeer"
	"github.com/cockroachdb/errors"
	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"go.uber.org/zap"
)

const (
	// leaveDelay is how long a leaving host keeps serving, so that callers stop
	// using its address. It exceeds the lifetime of an address lookup result by some
	// margin.
	leaveDelay = 2200 * time.Millisecond
	// exitMargin is the part of the grace period reserved for process exit.
	exitMargin        = 700 * time.Millisecond
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 75 * time.Second
	// answerMargin is the time before the end of the grace period at which unanswered
	// requests end, so that their callers get an answer. It exceeds the longest interval
	// at which net/http looks whether all connections are closed.
	answerMargin = 600 * time.Millisecond
)

// Edge is the process of one entry host that runs a bbtedge.Edge.
type Edge struct {
	settings bbtedge.Settings
	log      *zap.Logger
	edge     *bbtedge.Edge
	gateway  *bbtgateway.Gateway
	kratos   *kratos.App
	reloader *reloader
}

// PlatformHandlers are the HTTP handlers that a platform's adapter provides for a
// host.
type PlatformHandlers struct {
	Directory http.Handler // host addresses for callers
	Ready     http.Handler // the platform's readiness checks
}

// NewEdge returns the process of a host with the given settings. readSettings
// reads the current settings for reloads; platformHandlers returns the platform's
// handlers for the host.
func NewEdge(s bbtedge.Settings, readSettings func() (bbtedge.Settings, error), source bluebelltray.Source, dialect bluebelltray.Dialect,
	platformHandlers func(*bbtedge.Edge) PlatformHandlers, log *zap.Logger, counters *bbtmetric.Counters) (*Edge, error) {
	latencies := bbtmetric.NewLatencies()
	node, err := listenPeers(s, counters)
	if err != nil {
		return nil, err
	}
	edge := bbtedge.New(s, source, node, bbtedge.WithLogger(log), bbtedge.WithCounters(counters))
	a := &Edge{settings: s, log: log, edge: edge, gateway: bbtgateway.New(edge, dialect, bbtgateway.WithLogger(log),
		bbtgateway.WithCounters(counters), bbtgateway.WithLatencies(latencies))}
	a.reloader = newReloader(edge, s, log, readSettings)
	handlers := platformHandlers(edge)
	intake := newIntake(s, counters)
	callerServer, err := newServer(s.ListenAddr, a.gateway, intake)
	if err != nil {
		return nil, err
	}
	directory, err := newServer(s.Directory, handlers.Directory, intake)
	if err != nil {
		return nil, err
	}
	ready, err := newServer(s.Ready, handlers.Ready, intake)
	if err != nil {
		return nil, err
	}
	servers := []transport.Server{callerServer, directory, ready}
	if s.MetricsAddr != "" {
		metrics, err := newServer(s.MetricsAddr, operatorHandler(edge, counters, latencies), intake)
		if err != nil {
			return nil, err
		}
		servers = append(servers, metrics)
	}
	a.kratos = kratos.New(
		kratos.Name("bluebelltray"),
		kratos.Server(servers...),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.StopTimeout(a.stopTimeout()),
		kratos.BeforeStop(a.drain))
	return a, nil
}

// operatorHandler returns the handler for operators: metrics for Prometheus and
// in expvar's format, and the host's status.
func operatorHandler(e *bbtedge.Edge, c *bbtmetric.Counters, l *bbtmetric.Latencies) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", bbtmetric.PrometheusHandler(c, l))
	mux.Handle("GET /debug/vars", c)
	mux.Handle("GET /status", e.StatusPage())
	return mux
}

// listenPeers returns a node that accepts connections from other hosts.
func listenPeers(s bbtedge.Settings, counters *bbtmetric.Counters) (*bbtpeer.Node, error) {
	packetConn, err := net.ListenPacket("udp4", s.PeerAddr(s.Host))
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	id, err := bbtpeer.NewSelfSignedIdentity(s.Host, time.Now())
	if err != nil {
		return nil, err
	}
	codec, err := bbtedge.NewCodec()
	if err != nil {
		return nil, err
	}
	return bbtpeer.Listen(s.Host, packetConn, id, codec, counters)
}

// newServer returns a server that passes every request unchanged to h, within the bounds
// of an intake.
func newServer(addr string, h http.Handler, in *bbtgateway.Intake) (*khttp.Server, error) {
	l, err := bbtgateway.Listen(addr, in)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", addr)
	}
	// Without an explicit endpoint Kratos enumerates the network interfaces to
	// find one.
	srv := khttp.NewServer(khttp.Listener(l), khttp.Endpoint(&url.URL{Scheme: "http", Host: addr}), khttp.Timeout(0))
	srv.Handler = in.Handler(h) // bypass the Kratos router, which would clean paths
	srv.ConnContext = bbtgateway.ConnContext
	srv.ReadHeaderTimeout = readHeaderTimeout
	srv.IdleTimeout = idleTimeout
	srv.DisableGeneralOptionsHandler = true // it would answer in place of h
	return srv, nil
}

// Run serves until a signal stops the process.
func (a *Edge) Run() error {
	defer a.edge.Close()
	defer close(a.reloader.stop)
	go a.reloader.run()
	a.log.Info("started", zap.String("node", a.settings.Name), zap.String("zone", string(a.settings.Zone)))
	err := a.kratos.Run()
	a.log.Info("stopped", zap.Error(err))
	return err
}

// stopTimeout returns how long requests may go on after drain has returned.
func (a *Edge) stopTimeout() time.Duration {
	return max(exitMargin, a.settings.Bounds.Grace-leaveDelay-exitMargin)
}

// drain keeps serving until callers no longer use this host's address. After it
// returns, no new requests are accepted; running ones may go on until the stop timeout,
// and those without an answer end shortly before.
func (a *Edge) drain(ctx context.Context) error {
	a.edge.Leave()
	timer := time.NewTimer(min(leaveDelay, a.settings.Bounds.Grace/2))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	time.AfterFunc(a.stopTimeout()-answerMargin, a.gateway.Stop)
	a.log.Info("taking no more requests", zap.Int64("requests", a.gateway.ActiveRequests()))
	return nil
}
