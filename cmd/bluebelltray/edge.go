package main

import (
	"net"
	"os"
	"strconv"
	"time"

	"bluebelltray/io/bbtapp"
	"bluebelltray/io/bbtedge"
	"bluebelltray/io/bbtlog"
	"bluebelltray/io/bbtmetric"
	"bluebelltray/platform"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// edgeCmd runs an entry host on the platform that package platform adapts to.
type edgeCmd struct {
	Boot        string        `type:"path" placeholder:"FILE" help:"The settings file that the platform writes; by default the one that its environment variable names."`
	TierRoom    time.Duration `placeholder:"OBJECTIVE" help:"Latency objective of a model service's most urgent route from which the service keeps room for its tiers and promises refused callers a time to return; 0, the default, for none."`
	MetricsPort int           `placeholder:"PORT" help:"TCP port of the pages for operators: /metrics, /debug/vars and /status."`
}

// Run serves requests until a signal stops the process.
func (c *edgeCmd) Run() error {
	if c.TierRoom < 0 {
		return &exitError{code: exitUnusable, err: errors.Newf("--tier-room: %v is negative", c.TierRoom)}
	}
	path := c.Boot
	if path == "" {
		path = os.Getenv(platform.SettingsPathEnv)
	}
	if path == "" {
		return &exitError{code: exitUnusable, err: errors.Newf("no settings file given by --boot or %s", platform.SettingsPathEnv)}
	}
	load := func() (bbtedge.Settings, error) { return platform.LoadSettings(path) }
	s, err := load()
	if err != nil {
		return &exitError{code: exitUnusable, err: err}
	}
	s.TierRoomObjective = c.TierRoom
	if c.MetricsPort != 0 {
		s.MetricsAddr = net.JoinHostPort(string(s.Host), strconv.Itoa(c.MetricsPort))
	}
	logQueue := bbtlog.New(os.Stdout, zapcore.InfoLevel)
	defer logQueue.Close()
	log := logQueue.Logger()
	counters := bbtmetric.New()
	counters.SetFunc("log-lines-dropped-routine", func() int64 { n, _ := logQueue.Dropped(); return n })
	counters.SetFunc("log-lines-dropped-grave", func() int64 { _, n := logQueue.Dropped(); return n })
	source := platform.NewStore(s.Platform, func(key string, err error) {
		counters.Add("platform-entries-unreadable", 1)
		log.Warn("entry of the platform ignored", zap.String("key", key), zap.Error(err))
	})
	app, err := bbtapp.NewEdge(s, load, source, platform.Dialect{}, platformHandlers, log, counters)
	if err != nil {
		return err
	}
	return app.Run()
}

// platformHandlers returns the handlers that package platform provides for a host.
func platformHandlers(e *bbtedge.Edge) bbtapp.PlatformHandlers {
	return bbtapp.PlatformHandlers{Directory: platform.Directory(e), Ready: platform.Ready(e)}
}
