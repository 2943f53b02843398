package bbtgateway

import (
	"context"
	"sync/atomic"
	"time"

	"bluebelltray/core/bbtcatalog"
)

// Silence of an endpoint after which a request that may be repeated goes
// elsewhere, while its attempts last.
const (
	silentObjectives = 2 // latency objectives, until the first bytes
	silentPauses     = 4 // longest gaps between events that are on time
	leastSilence     = 250 * time.Millisecond
)

// silence watches one dispatch and ends it when nothing comes for too long. A
// nil one watches nothing.
type silence struct {
	timer  *time.Timer
	pause  time.Duration
	ended  atomic.Bool
	cancel context.CancelFunc
}

// watch returns the watch of a dispatch that cancel ends; nil if the request
// can go nowhere else.
func (x *exchange) watch(cancel context.CancelFunc) *silence {
	if !x.route.Retryable() || x.repeated() {
		return nil
	}
	s := &silence{cancel: cancel, pause: max(silentPauses*x.route.MaxEventGap, leastSilence)}
	first := max(silentObjectives*x.route.LatencyObjective, leastSilence)
	if x.route.Kind == bbtcatalog.Streaming {
		first = max(first, s.pause)
	}
	s.timer = time.AfterFunc(first, s.end)
	return s
}

// end gives the dispatch up.
func (s *silence) end() {
	s.ended.Store(true)
	s.cancel()
}

// heard records that something came.
func (s *silence) heard() {
	if s != nil {
		s.timer.Reset(s.pause)
	}
}

// stop ends the watch.
func (s *silence) stop() {
	if s != nil {
		s.timer.Stop()
	}
}

// broke reports whether the watch gave the dispatch up.
func (s *silence) broke() bool { return s != nil && s.ended.Load() }
