package bbtapp

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"bluebelltray/io/bbtedge"
	"go.uber.org/zap"
)

// reloadPeriod is the time between looks at settings that may change without a
// signal.
const reloadPeriod = 10 * time.Second

// reloader follows a host's settings while the process runs.
type reloader struct {
	edge *bbtedge.Edge
	log  *zap.Logger
	read func() (bbtedge.Settings, error)
	last bbtedge.Settings
	hups chan os.Signal
	stop chan struct{}
}

// newReloader returns a reloader that takes the hangup signal over at once, so
// that it no longer ends the process.
func newReloader(e *bbtedge.Edge, s bbtedge.Settings, log *zap.Logger, read func() (bbtedge.Settings, error)) *reloader {
	r := &reloader{edge: e, log: log, read: read, last: s, hups: make(chan os.Signal, 1), stop: make(chan struct{})}
	signal.Notify(r.hups, syscall.SIGHUP)
	return r
}

// run reads the settings at each signal and once in a while until it is
// stopped.
func (r *reloader) run() {
	ticks := time.NewTicker(reloadPeriod)
	defer ticks.Stop()
	defer signal.Stop(r.hups)
	for {
		select {
		case <-r.stop:
			return
		case <-r.hups:
			r.log.Info("asked to reload settings")
		case <-ticks.C:
		}
		r.reload()
	}
}

// reload takes changed settings over. Those that cannot be read change nothing.
func (r *reloader) reload() {
	s, err := r.read()
	switch {
	case err != nil:
		r.log.Warn("settings not reloaded", zap.Error(err))
	case s.Bounds != r.last.Bounds:
		r.last = s
		r.edge.Reload(s)
	}
}
