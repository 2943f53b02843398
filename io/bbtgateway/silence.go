package bbtgateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bluebelltray/core/bbtcatalog"
)

// Timeouts after which another endpoint is looked for, for a request that may be
// repeated, unless this is its last attempt. The response timeout covers the
// time until the first event of a stream, the header of an unbuffered response,
// or the end of a buffered one. The idle timeout covers the time between events.
const (
	responseTimeoutFactor = 2 // of the route's latency objective
	idleTimeoutFactor     = 4 // of the route's maximum gap between events
	minTimeout            = 250 * time.Millisecond
	// relocationTimeout is the time after which the answer to a relocation is taken
	// for lost. It exceeds the time for which an owner queues it.
	relocationTimeout = 2 * time.Second
)

// watchdog moves a request to another endpoint if its own sends nothing for too long.
// The dispatch is cancelled only when another endpoint has taken the request: until then
// the silent one may still answer. A nil watchdog does nothing.
type watchdog struct {
	exchange    *exchange
	ctx         context.Context // of the request
	attempt     int             // number of the dispatch
	idleTimeout time.Duration
	patience    time.Duration // with the answer to a relocation
	cancel      context.CancelFunc
	expired     atomic.Bool
	progress    chan struct{} // holds a value if events have arrived
	stopped     chan struct{} // closed by stop

	mu         sync.Mutex
	timer      *time.Timer
	progressAt time.Time       // when events arrived last
	lastID     string          // of the event after which the stream would be resumed
	next       *roundTrip      // to another endpoint; nil unless it is in progress
	ended      []relocationEnd // earlier ones
	isStopped  bool
}

// startWatchdog returns a running watchdog of a dispatch that calls cancel, or nil if the
// request cannot be sent to another endpoint.
func (x *exchange) startWatchdog(ctx context.Context, attempt int, cancel context.CancelFunc) *watchdog {
	if !x.route.Retryable() || x.isLastAttempt() {
		return nil
	}
	w := &watchdog{
		exchange: x, ctx: ctx, attempt: attempt, cancel: cancel, idleTimeout: max(idleTimeoutFactor*x.route.MaxEventGap, minTimeout),
		patience: max(relocationTimeout, 2*x.route.LatencyObjective), progress: make(chan struct{}, 1), stopped: make(chan struct{}),
		lastID: x.position.lastID,
	}
	if x.route.LatencyObjective <= 0 {
		w.patience = max(w.patience, time.Until(x.deadline))
	}
	responseTimeout := max(responseTimeoutFactor*x.route.LatencyObjective, minTimeout)
	if x.route.Kind == bbtcatalog.Streaming {
		responseTimeout = max(responseTimeout, w.idleTimeout)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(responseTimeout, w.expire)
	return w
}

// expire looks for another endpoint, and waits for another idle timeout if there is none.
func (w *watchdog) expire() {
	if !w.isSilent() {
		return
	}
	rel := w.exchange.request.Relocate(w.attempt)
	patience := time.NewTimer(w.patience)
	defer patience.Stop()
	select {
	case answer := <-rel.Answer():
		if answer.Granted {
			w.try(rel, answer.Dispatch)
			return
		}
	case <-patience.C:
		rel.Cancel()
	case <-w.progress:
		rel.Cancel()
		return
	case <-w.stopped:
		rel.Cancel()
		return
	}
	w.rearm()
}

// isSilent reports whether no events have arrived for the idle timeout. It forgets the
// earlier ones.
func (w *watchdog) isSilent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isStopped || !w.progressAt.IsZero() && time.Since(w.progressAt) < w.idleTimeout {
		return false
	}
	select {
	case <-w.progress:
	default:
	}
	return true
}

// abandon cancels the dispatch, whose request another endpoint has taken, and reports
// whether it has: not if events have arrived or the watchdog is stopped.
func (w *watchdog) abandon(next *roundTrip) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isStopped || len(w.progress) > 0 || w.next != next {
		return false
	}
	w.expired.Store(true)
	w.cancel()
	return true
}

// rearm starts the timer again unless the watchdog is stopped.
func (w *watchdog) rearm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isStopped {
		w.timer.Reset(w.idleTimeout)
	}
}

// reset restarts the timer with the idle timeout when events have arrived, the last of
// them with the given ID.
func (w *watchdog) reset(lastID string) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isStopped {
		return
	}
	w.progressAt, w.lastID = time.Now(), lastID
	w.timer.Reset(w.idleTimeout)
	select {
	case w.progress <- struct{}{}:
	default:
	}
}

// stop stops the watchdog.
func (w *watchdog) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopLocked()
}

// stopLocked stops the watchdog. The caller holds mu.
func (w *watchdog) stopLocked() {
	if !w.isStopped {
		w.isStopped = true
		w.timer.Stop()
		close(w.stopped)
	}
}

// hasExpired reports whether the watchdog has cancelled the dispatch.
func (w *watchdog) hasExpired() bool { return w != nil && w.expired.Load() }
