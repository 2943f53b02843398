package bbtapp

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"bluebelltray/io/bbtedge"
	"go.uber.org/zap"
)

// reloadPeriod is the interval at which settings are read without a signal.
const reloadPeriod = 10 * time.Second

// reloader applies changed settings to a running host.
type reloader struct {
	edge         *bbtedge.Edge
	log          *zap.Logger
	readSettings func() (bbtedge.Settings, error)
	current      bbtedge.Settings
	hangups      chan os.Signal
	stop         chan struct{}
}

// newReloader returns a reloader. It registers for SIGHUP at once rather than in
// run, since an unhandled SIGHUP terminates the process.
func newReloader(e *bbtedge.Edge, s bbtedge.Settings, log *zap.Logger, readSettings func() (bbtedge.Settings, error)) *reloader {
	r := &reloader{edge: e, log: log, readSettings: readSettings, current: s, hangups: make(chan os.Signal, 1), stop: make(chan struct{})}
	signal.Notify(r.hangups, syscall.SIGHUP)
	return r
}

// run reads the settings at each SIGHUP and every reloadPeriod until stop is
// closed.
func (r *reloader) run() {
	ticker := time.NewTicker(reloadPeriod)
	defer ticker.Stop()
	defer signal.Stop(r.hangups)
	for {
		select {
		case <-r.stop:
			return
		case <-r.hangups:
			r.log.Info("SIGHUP received, reloading settings")
		case <-ticker.C:
		}
		r.reload()
	}
}

// reload applies the settings if their bounds have changed. If they cannot be
// read, the current settings stay in force.
func (r *reloader) reload() {
	s, err := r.readSettings()
	switch {
	case err != nil:
		r.log.Warn("settings not reloaded", zap.Error(err))
	case s.Bounds != r.current.Bounds:
		r.current = s
		r.edge.Reload(s)
	}
}
