package bbtedge

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtschedule"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// An owner of a hundred endpoints has to log the load of all of them, in lines
// short enough for log collectors that read the output through a pipe.
func TestLoadOfALargeServiceIsSplitOverLogLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const endpoints = 100
		w, s := newNetwork(t), newStore(1)
		e := w.join("a", s)
		var changes []bbtcatalog.Change
		for i := range endpoints {
			id := fmt.Sprintf("i-%d", i)
			changes = append(changes, bbtcatalog.Change{Revision: 2, Endpoint: &bbtcatalog.Endpoint{ID: id, Service: "plain", Address: id + ":1"}})
		}
		time.Sleep(time.Second)
		e.Close()
		core, lines := observer.New(zap.InfoLevel)
		e.log = zap.New(core)
		e.applyUpdate(time.Now(), bbtcatalog.Update{Revision: 2, Changes: changes}, "platform")
		lines.TakeAll()
		e.logLoad(time.Now().Add(loadLogPeriod))
		seen := 0
		for _, l := range lines.FilterMessage("load").All() {
			part, ok := l.ContextMap()["endpoints"].([]bbtschedule.EndpointStatus)
			if !ok || len(part) > endpointsPerLoadLine {
				t.Errorf("got %d endpoints in one line, want at most %d", len(part), endpointsPerLoadLine)
			}
			seen += len(part)
		}
		if want := endpoints; seen != want {
			t.Errorf("got %d endpoints in all lines, want %d", seen, want)
		}
	})
}
