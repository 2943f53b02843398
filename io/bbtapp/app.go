// Package bbtapp assembles the process of one entry host: its daemon, its
// servers and their orderly start and end.
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

// stopMargin is what a stop may take beyond the drain time.
const stopMargin = 5 * time.Second

// App is one entry host's process.
type App struct {
	settings *bbtsettings.Settings
	log      *zap.Logger
	daemon   *bbtdaemon.Daemon
	server   *bbthttp.Server
	kratos   *kratos.App
	ctx      context.Context
	cut      context.CancelFunc
}

// New returns the app of a host with its settings, whose key files must exist.
func New(s *bbtsettings.Settings, log *zap.Logger) (*App, error) {
	cert, pool, err := bbtkey.Load(s.Certificate(), s.Key(), s.Authority())
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", s.CallerAddr())
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	packets, err := net.ListenPacket("udp", s.PeerAddr())
	if err != nil {
		listener.Close()
		return nil, errors.Wrap(err, "listen for peers")
	}
	return Assemble(s, log, bbtpeer.NewIdentity(cert, pool), listener, packets)
}

// Assemble returns the app of a host that uses the given identity and sockets,
// which it owns from then on.
func Assemble(s *bbtsettings.Settings, log *zap.Logger, id bbtpeer.Identity, l net.Listener, packets net.PacketConn) (*App, error) {
	codec, err := bbtdaemon.NewCodec()
	if err != nil {
		return nil, err
	}
	counters := bbtmetric.New()
	node, err := bbtpeer.Listen(s.Host(), packets, id, codec, counters)
	if err != nil {
		return nil, err
	}
	daemon := bbtdaemon.New(s.Host(), s.Zone(), bbtplatform.New(s.PlatformAddr()), node,
		bbtdaemon.WithLogger(log), bbtdaemon.WithCounters(counters),
		bbtdaemon.WithAddressLifetime(s.AddressLifetime()),
		bbtdaemon.WithSeeds(s.Seeds()))
	a := &App{settings: s, log: log, daemon: daemon}
	a.ctx, a.cut = context.WithCancel(context.Background())
	a.server = bbthttp.NewServer(daemon, counters,
		bbthttp.WithListener(l),
		bbthttp.WithLimits(limits(s)),
		bbthttp.WithPage("/status", daemon.StatusPage()),
		bbthttp.WithPage("/ready", daemon.ReadyPage()),
		bbthttp.WithPage("/live", daemon.LivePage()),
		bbthttp.WithPage("/debug/vars", counters))
	a.kratos = kratos.New(
		kratos.Name("bluebelltray"),
		kratos.Server(a.server),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.StopTimeout(stopMargin),
		kratos.BeforeStop(a.drain))
	return a, nil
}

// limits returns the limits on callers that the settings state.
func limits(s *bbtsettings.Settings) bbthttp.Limits {
	return bbthttp.NewLimits(
		bbthttp.WithMaxHeader(int(s.HeaderSize())),
		bbthttp.WithMaxBody(int64(s.BodySize())),
		bbthttp.WithMaxConcurrent(s.ConcurrentRequests()),
		bbthttp.WithHeaderTimeout(s.HeaderTimeout()),
		bbthttp.WithBodyTimeout(s.BodyTimeout()))
}

// Run serves until a signal or Stop. The first signal drains the host, the
// second one cuts what still runs.
func (a *App) Run() error {
	defer a.daemon.Close()
	defer a.cut()
	return a.kratos.Run()
}

// Stop drains the host and makes Run return.
func (a *App) Stop() error { return a.kratos.Stop() }

// Daemon returns the app's daemon.
func (a *App) Daemon() *bbtdaemon.Daemon { return a.daemon }

// drain waits until the host's requests have ended, the drain time has passed,
// or a second signal comes, which cuts all callers off.
func (a *App) drain(context.Context) error {
	signalled, stop := signal.NotifyContext(a.ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(signalled, a.settings.DrainTime())
	defer cancel()
	if a.daemon.Drain(ctx) {
		a.log.Info("drained")
		return nil
	}
	a.log.Warn("drain ended early", zap.Int("requests", a.daemon.Status().Requests))
	if signalled.Err() != nil {
		return a.server.Close()
	}
	return nil
}
