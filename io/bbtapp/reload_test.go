package bbtapp

import (
	"os"
	"syscall"
	"testing"
	"time"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/io/bbtedge"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

func TestHangupReloadsSettings(t *testing.T) {
	read := make(chan struct{}, 8)
	r := newReloader(nil, bbtedge.Settings{}, zap.NewNop(), func() (bbtedge.Settings, error) {
		read <- struct{}{}
		return bbtedge.Settings{}, nil
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.run()
	}()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	<-read // if the reloader did not handle SIGHUP, the signal would terminate the test process
	close(r.stop)
	<-done
}

func TestReloadKeepsSettingsAfterReadError(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	current := bbtedge.Settings{Bounds: bbtcatalog.Bounds{Drain: time.Second}}
	r := newReloader(nil, current, zap.New(core), func() (bbtedge.Settings, error) {
		return bbtedge.Settings{}, errors.New("malformed settings")
	})
	r.reload() // would panic if it applied settings, since the edge is nil
	if got := logs.FilterMessage("settings not reloaded").Len(); got != 1 || r.current.Bounds != current.Bounds {
		t.Errorf("got %d lines and %+v, want one line and the old settings", got, r.current)
	}
}
