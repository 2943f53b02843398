package bbtgateway

import (
	"context"
	"sync/atomic"
	"time"

	"bluebelltray/core/bbtcatalog"
)

// Timeouts after which a request that may be repeated is sent to another
// endpoint, unless this is its last attempt. The response timeout covers the
// time until the first event of a stream, the header of an unbuffered response,
// or the end of a buffered one. The idle timeout covers the time between events.
const (
	responseTimeoutFactor = 2 // of the route's latency objective
	idleTimeoutFactor     = 4 // of the route's maximum gap between events
	minTimeout            = 250 * time.Millisecond
)

// watchdog cancels a dispatch whose endpoint sends nothing for too long. A nil
// watchdog does nothing.
type watchdog struct {
	timer       *time.Timer
	idleTimeout time.Duration
	expired     atomic.Bool
	cancel      context.CancelFunc
}

// startWatchdog returns a running watchdog that calls cancel, or nil if the
// request cannot be sent to another endpoint.
func (x *exchange) startWatchdog(cancel context.CancelFunc) *watchdog {
	if !x.route.Retryable() || x.isLastAttempt() {
		return nil
	}
	w := &watchdog{cancel: cancel, idleTimeout: max(idleTimeoutFactor*x.route.MaxEventGap, minTimeout)}
	responseTimeout := max(responseTimeoutFactor*x.route.LatencyObjective, minTimeout)
	if x.route.Kind == bbtcatalog.Streaming {
		responseTimeout = max(responseTimeout, w.idleTimeout)
	}
	w.timer = time.AfterFunc(responseTimeout, w.expire)
	return w
}

// expire cancels the dispatch.
func (w *watchdog) expire() {
	w.expired.Store(true)
	w.cancel()
}

// reset restarts the timer with the idle timeout when events have arrived.
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
