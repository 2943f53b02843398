package bbtgateway

import (
	"context"
	"sync/atomic"
	"time"

	"bluebelltray/core/bbtcatalog"
)

// Timeouts after which a request that may be repeated is sent to another
// endpoint, unless this is its last attempt.
const (
	firstByteObjectives = 2 // time to the first bytes, in latency objectives of the route
	idlePauses          = 4 // time between events, in longest on-time gaps of the route
	minIdleTimeout      = 250 * time.Millisecond
)

// watchdog cancels a dispatch whose endpoint sends nothing for too long. A nil
// watchdog does nothing.
type watchdog struct {
	timer       *time.Timer
	idleTimeout time.Duration
	expired     atomic.Bool
	cancel      context.CancelFunc
}

// startWatchdog returns a running watchdog that calls cancel; nil if the
// request cannot be sent to another endpoint.
func (x *exchange) startWatchdog(cancel context.CancelFunc) *watchdog {
	if !x.route.Retryable() || x.isLastAttempt() {
		return nil
	}
	w := &watchdog{cancel: cancel, idleTimeout: max(idlePauses*x.route.MaxEventGap, minIdleTimeout)}
	firstByteTimeout := max(firstByteObjectives*x.route.LatencyObjective, minIdleTimeout)
	if x.route.Kind == bbtcatalog.Streaming {
		firstByteTimeout = max(firstByteTimeout, w.idleTimeout)
	}
	w.timer = time.AfterFunc(firstByteTimeout, w.expire)
	return w
}

// expire cancels the dispatch.
func (w *watchdog) expire() {
	w.expired.Store(true)
	w.cancel()
}

// reset restarts the timer after received data.
func (w *watchdog) reset() {
	if w != nil {
		w.timer.Reset(w.idleTimeout)
	}
}

// stop stops the timer.
func (w *watchdog) stop() {
	if w != nil {
		w.timer.Stop()
	}
}

// hasExpired reports whether the watchdog has cancelled the dispatch.
func (w *watchdog) hasExpired() bool { return w != nil && w.expired.Load() }
