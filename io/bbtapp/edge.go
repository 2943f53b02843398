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
	// callersGone is how long a host that leaves serves on, so that callers
	// drop its address: an address answer's lifetime and some time to spare.
	callersGone = 2200 * time.Millisecond
	// graceMargin is the part of the grace time that is left for the exit.
	graceMargin = 700 * time.Millisecond
	headerTime  = 10 * time.Second
	idleTime    = 75 * time.Second
)

// Edge is the process of one entry host on a platform.
type Edge struct {
	settings bbtedge.Settings
	log      *zap.Logger
	edge     *bbtedge.Edge
	gateway  *bbtgateway.Gateway
	kratos   *kratos.App
	reloader *reloader
}

// PlatformHandlers are the handlers that a platform's adapter makes for a host.
type PlatformHandlers struct {
	Directory http.Handler
	Ready     http.Handler
}

// NewEdge returns the process of a host with its settings, which read reads
// anew. pages makes the platform's pages for it.
func NewEdge(s bbtedge.Settings, read func() (bbtedge.Settings, error), source bluebelltray.Source, dialect bluebelltray.Dialect,
	pages func(*bbtedge.Edge) PlatformHandlers, log *zap.Logger, counters *bbtmetric.Counters) (*Edge, error) {
	latencies := bbtmetric.NewLatencies()
	node, err := listenPeers(s, counters)
	if err != nil {
		return nil, err
	}
	edge := bbtedge.New(s, source, node, bbtedge.WithLogger(log), bbtedge.WithCounters(counters))
	a := &Edge{settings: s, log: log, edge: edge, gateway: bbtgateway.New(edge, dialect, bbtgateway.WithLogger(log),
		bbtgateway.WithCounters(counters), bbtgateway.WithLatencies(latencies))}
	a.reloader = newReloader(edge, s, log, read)
	p := pages(edge)
	front, err := serve(s.Callers, a.gateway)
	if err != nil {
		return nil, err
	}
	directory, err := serve(s.Directory, p.Directory)
	if err != nil {
		return nil, err
	}
	ready, err := serve(s.Ready, p.Ready)
	if err != nil {
		return nil, err
	}
	servers := []transport.Server{front, directory, ready}
	if s.Metrics != "" {
		m, err := serve(s.Metrics, metricPages(edge, counters, latencies))
		if err != nil {
			return nil, err
		}
		servers = append(servers, m)
	}
	a.kratos = kratos.New(
		kratos.Name("bluebelltray"),
		kratos.Server(servers...),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.StopTimeout(max(graceMargin, s.Bounds.Grace-callersGone-graceMargin)),
		kratos.BeforeStop(a.drain))
	return a, nil
}

// metricPages returns the pages for operators: metrics in both forms and what
// the owner role of this host believes.
func metricPages(e *bbtedge.Edge, c *bbtmetric.Counters, l *bbtmetric.Latencies) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", bbtmetric.PrometheusHandler(c, l))
	mux.Handle("GET /debug/vars", c)
	mux.Handle("GET /status", e.StatusPage())
	return mux
}

// listenPeers opens the host's end of the connections between hosts.
func listenPeers(s bbtedge.Settings, counters *bbtmetric.Counters) (*bbtpeer.Node, error) {
	packets, err := net.ListenPacket("udp4", s.PeerAddr(s.Host))
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
	return bbtpeer.Listen(s.Host, packets, id, codec, counters)
}

// serve returns a server of one handler that gets every request as it came.
func serve(addr string, h http.Handler) (*khttp.Server, error) {
	l, err := bbtgateway.Listen(addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen at %s", addr)
	}
	// A stated endpoint keeps the framework from asking the kernel for interfaces.
	srv := khttp.NewServer(khttp.Listener(l), khttp.Endpoint(&url.URL{Scheme: "http", Host: addr}), khttp.Timeout(0))
	srv.Handler = h // the framework's router would clean paths
	srv.ReadHeaderTimeout = headerTime
	srv.IdleTimeout = idleTime
	return srv, nil
}

// Run serves until a signal ends the process.
func (a *Edge) Run() error {
	defer a.edge.Close()
	defer close(a.reloader.stop)
	go a.reloader.run()
	a.log.Info("started", zap.String("node", a.settings.Name), zap.String("zone", string(a.settings.Zone)))
	err := a.kratos.Run()
	a.log.Info("stopped", zap.Error(err))
	return err
}

// drain serves on until callers have dropped this host's address. After it no
// request is taken; those that run have until the stop's time limit.
func (a *Edge) drain(ctx context.Context) error {
	a.edge.Leave()
	wait := time.NewTimer(min(callersGone, a.settings.Bounds.Grace/2))
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
	}
	a.log.Info("taking no more requests", zap.Int64("requests", a.gateway.Active()))
	return nil
}
