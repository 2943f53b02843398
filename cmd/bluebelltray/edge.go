package main

import (
	"net"
	"os"
	"strconv"

	"bluebelltray/io/bbtapp"
	"bluebelltray/io/bbtedge"
	"bluebelltray/io/bbtlog"
	"bluebelltray/io/bbtmetric"
	"bluebelltray/platform"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// edgeCmd runs an entry host on the users' platform.
type edgeCmd struct {
	Boot        string `type:"path" placeholder:"FILE" help:"The settings file that the platform writes; by default the one that its environment variable names."`
	MetricsPort int    `placeholder:"PORT" help:"TCP port of the pages for operators: /metrics, /debug/vars and /status."`
}

// Run serves until a signal ends the process.
func (c *edgeCmd) Run() error {
	path := c.Boot
	if path == "" {
		path = os.Getenv(platform.SettingsPathEnv)
	}
	if path == "" {
		return &exitError{code: exitUnusable, err: errors.Newf("no settings file: neither --boot nor %s names one", platform.SettingsPathEnv)}
	}
	read := func() (bbtedge.Settings, error) { return platform.LoadSettings(path) }
	s, err := read()
	if err != nil {
		return &exitError{code: exitUnusable, err: err}
	}
	if c.MetricsPort != 0 {
		s.MetricsAddr = net.JoinHostPort(string(s.Host), strconv.Itoa(c.MetricsPort))
	}
	ring := bbtlog.New(os.Stdout, zapcore.InfoLevel)
	defer ring.Close()
	log := ring.Logger()
	counters := bbtmetric.New()
	counters.SetFunc("log-lines-dropped-routine", func() int64 { n, _ := ring.Dropped(); return n })
	counters.SetFunc("log-lines-dropped-grave", func() int64 { _, n := ring.Dropped(); return n })
	source := platform.NewStore(s.PlatformAddr, func(key string, err error) {
		counters.Add("platform-entries-unreadable", 1)
		log.Warn("entry of the platform ignored", zap.String("key", key), zap.Error(err))
	})
	app, err := bbtapp.NewEdge(s, read, source, platform.Dialect{}, pages, log, counters)
	if err != nil {
		return err
	}
	return app.Run()
}

// pages makes the platform's pages for a host.
func pages(e *bbtedge.Edge) bbtapp.PlatformHandlers {
	return bbtapp.PlatformHandlers{Directory: platform.Directory(e), Ready: platform.Ready(e)}
}
