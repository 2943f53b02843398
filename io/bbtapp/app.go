// Package bbtapp assembles the process of one entry host and handles its start and
// graceful shutdown. There are two kinds of process. An App, run by the command
// "bluebelltray serve", consists of a bbtdaemon.Daemon and an HTTP server; its
// zones, endpoints and contracts come from a published manifest and its parts. An
// Edge, run by "bluebelltray edge", consists of a bbtedge.Edge and HTTP servers;
// its routes, client accounts and endpoints come from a platform's key-value store.
package bbtapp

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"bluebelltray/io/bbtdaemon"
	"bluebelltray/io/bbthttp"
	"bluebelltray/io/bbtkey"
	"bluebelltray/io/bbtmetric"
	"bluebelltray/io/bbtpeer"
	"bluebelltray/io/bbtplatform"
	"bluebelltray/io/bbtsettings"
	"github.com/cockroachdb/errors"
	"github.com/go-kratos/kratos/v2"
	"go.uber.org/zap"
)

// stopTimeout limits the shutdown of the servers after the drain.
const stopTimeout = 5 * time.Second

// App is the process of one entry host that runs a bbtdaemon.Daemon.
type App struct {
	settings *bbtsettings.Settings
	log      *zap.Logger
	daemon   *bbtdaemon.Daemon
	server   *bbthttp.Server
	kratos   *kratos.App
	ctx      context.Context
	cancel   context.CancelFunc
}

// New returns the app of the host that the settings describe. It loads the PEM
// files and listens on the configured addresses.
func New(s *bbtsettings.Settings, log *zap.Logger) (*App, error) {
	cert, pool, err := bbtkey.Load(s.Certificate(), s.Key(), s.Authority())
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", s.CallerAddr())
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	packetConn, err := net.ListenPacket("udp", s.PeerAddr())
	if err != nil {
		listener.Close()
		return nil, errors.Wrap(err, "listen for peers")
	}
	return Assemble(s, log, bbtpeer.NewIdentity(cert, pool), listener, packetConn)
}

// Assemble returns an app that uses the given identity and sockets. It takes
// ownership of the sockets.
func Assemble(s *bbtsettings.Settings, log *zap.Logger, id bbtpeer.Identity, listener net.Listener, packetConn net.PacketConn) (*App, error) {
	codec, err := bbtdaemon.NewCodec()
	if err != nil {
		return nil, err
	}
	counters := bbtmetric.New()
	node, err := bbtpeer.Listen(s.Host(), packetConn, id, codec, counters)
	if err != nil {
		return nil, err
	}
	daemon := bbtdaemon.New(s.Host(), s.Zone(), bbtplatform.New(s.PlatformAddr()), node,
		bbtdaemon.WithLogger(log), bbtdaemon.WithCounters(counters),
		bbtdaemon.WithAddressLifetime(s.AddressLifetime()),
		bbtdaemon.WithSeeds(s.Seeds()))
	a := &App{settings: s, log: log, daemon: daemon}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.server = bbthttp.NewServer(daemon, counters,
		bbthttp.WithListener(listener),
		bbthttp.WithLimits(limits(s)),
		bbthttp.WithPage("/status", daemon.StatusHandler()),
		bbthttp.WithPage("/ready", daemon.ReadinessHandler()),
		bbthttp.WithPage("/live", daemon.LivenessHandler()),
		bbthttp.WithPage("/debug/vars", counters))
	a.kratos = kratos.New(
		kratos.Name("bluebelltray"),
		kratos.Server(a.server),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.StopTimeout(stopTimeout),
		kratos.BeforeStop(a.drain))
	return a, nil
}

// limits returns the configured limits on requests.
func limits(s *bbtsettings.Settings) bbthttp.Limits {
	return bbthttp.NewLimits(
		bbthttp.WithMaxHeaderBytes(int(s.HeaderSize())),
		bbthttp.WithMaxBodyBytes(int64(s.BodySize())),
		bbthttp.WithMaxConcurrentRequests(s.ConcurrentRequests()),
		bbthttp.WithHeaderTimeout(s.HeaderTimeout()),
		bbthttp.WithBodyTimeout(s.BodyTimeout()))
}

// Run serves until a signal arrives or Stop is called. The first signal starts a
// drain; a second one closes all connections of callers.
func (a *App) Run() error {
	defer a.daemon.Close()
	defer a.cancel()
	return a.kratos.Run()
}

// Stop drains the host, after which Run returns.
func (a *App) Stop() error { return a.kratos.Stop() }

// Daemon returns the app's daemon.
func (a *App) Daemon() *bbtdaemon.Daemon { return a.daemon }

// drain waits until callers no longer use the host's address and its requests
// have ended, the drain time has elapsed or a second signal arrives. A second
// signal closes all connections of callers.
func (a *App) drain(context.Context) error {
	signalled, stop := signal.NotifyContext(a.ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(signalled, a.settings.DrainTime())
	defer cancel()
	if a.daemon.Drain(ctx) {
		a.log.Info("drained")
		return nil
	}
	a.log.Warn("drain incomplete", zap.Int("requests", a.daemon.Status().Requests))
	if signalled.Err() != nil {
		return a.server.Close()
	}
	return nil
}
