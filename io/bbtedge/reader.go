package bbtedge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"bluebelltray"
	"bluebelltray/core/bbtcatalog"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// The platform may hold a watch for watchFraction of the apply time, the time
	// within which a change has to be in force, and for shortWatchFraction of it in
	// a large fleet, where few hosts read. A watch may stop reporting changes, which
	// shows only when it ends.
	watchFraction      = 1.2
	shortWatchFraction = 0.6
	watchJitter        = 0.25             // relative deviation from the timeout; keeps watches of different hosts from ending at once
	defaultWatch       = 10 * time.Second // watch timeout without an apply time
	// batchFraction is the fraction of the apply time to wait after a watch has
	// returned changes, so that the next call returns more of them at once: the
	// platform charges per call.
	batchFraction   = 0.1
	minBackoff      = 100 * time.Millisecond
	maxBackoff      = time.Second
	outageThreshold = time.Second // time without an answer after which entries may have expired
	// probeWait is how long the platform may hold the first watch after a failed call.
	// Its answer tells whether the platform has returned with an older copy.
	probeWait     = time.Millisecond
	staleWatchAge = 500 * time.Millisecond // a watch open for longer has stopped reporting if a peer knows a newer revision
	idlePeriod    = 200 * time.Millisecond // between checks whether an idle reader has to read again
)

// reader loads and watches the state that the platform publishes, and posts the
// updates to the edge.
type reader struct {
	edge      *Edge
	source    bluebelltray.Source
	applyTime time.Duration // time within which a change has to be in force

	mu          sync.Mutex
	position    bbtcatalog.Position // latest one known to the edge
	era         uint64              // that the platform's last answer stated
	lastAnswer  time.Time           // when the platform last answered
	cancelRead  context.CancelFunc
	readStarted time.Time // when the current call started
	idle        bool      // this host leaves reading to its peers
	shortWatch  bool
}

// confirmedAt returns when the platform last answered, or zero if it never did.
func (r *reader) confirmedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastAnswer
}

// setPosition records the position that the edge knows. A later one that comes from
// a peer while a watch has been open for staleWatchAge shows that the watch no longer
// reports changes, so it is cancelled.
func (r *reader) setPosition(position bbtcatalog.Position, fromPeer bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.position.Before(position) {
		return
	}
	r.position = position
	if fromPeer && r.cancelRead != nil && time.Since(r.readStarted) > staleWatchAge {
		r.cancelRead()
	}
}

// setMode sets whether to read the platform at all, and whether to use short
// watches.
func (r *reader) setMode(reads, short bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.idle, r.shortWatch = !reads, short
}

// run reads the platform until the edge is closed.
func (r *reader) run() {
	loaded := false
	down := false
	backoff := minBackoff
	reloading := false // no watch has succeeded since the last load that replaced a history
	for r.edge.ctx.Err() == nil {
		if r.isIdle() {
			r.sleep(idlePeriod)
			loaded = r.knownPosition().Revision > 0
			continue
		}
		err := r.read(loaded, down)
		switch {
		case err == nil:
			if loaded {
				reloading, backoff = false, minBackoff
			}
			loaded = true
			if down {
				down = false
				r.edge.log.Info("platform regained")
			}
		case errors.Is(err, bluebelltray.ErrHistoryUnavailable):
			r.edge.counters.Add("platform-histories-gone", 1)
			r.edge.log.Info("platform's history is gone", zap.Uint64("after", r.knownPosition().Revision), zap.String("error", err.Error()))
			if reloading {
				r.sleep(backoff)
				backoff = min(2*backoff, maxBackoff)
			}
			loaded, reloading = false, true
		case r.edge.ctx.Err() == nil:
			if !down {
				down = true
				r.edge.log.Warn("platform lost", zap.Error(err))
			}
			r.edge.counters.Add("platform-reads-failed", 1)
			r.sleep(backoff)
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// read makes one call to the platform, a load or a watch, and posts the result. failed
// says that the call before failed.
func (r *reader) read(loaded, failed bool) error {
	ctx, cancel := context.WithCancel(r.edge.ctx)
	defer cancel()
	r.mu.Lock()
	after, wait := r.position, r.watchTimeout()
	if failed {
		wait = probeWait
	}
	r.cancelRead, r.readStarted = cancel, time.Now()
	previous := r.lastAnswer
	r.mu.Unlock()
	r.edge.counters.Add("platform-reads", 1)
	callStart := time.Now()
	if !loaded {
		u, err := r.source.Load(ctx)
		if err != nil {
			return err
		}
		r.edge.counters.Add("platform-loads", 1)
		r.noteEra(u, after)
		r.edge.post(platformUpdated{u, r.recordAnswer(previous, callStart)})
		r.setPosition(u.Position(), false)
		return nil
	}
	u, err := r.source.Watch(ctx, after, wait)
	if err != nil {
		if ctx.Err() != nil && r.edge.ctx.Err() == nil {
			r.edge.counters.Add("platform-watches-abandoned", 1)
			return nil
		}
		return err
	}
	r.noteEra(u, after)
	if u.Era != after.Era {
		return errors.Wrapf(bluebelltray.ErrHistoryUnavailable, "watch after era %d answered in era %d", after.Era, u.Era)
	}
	r.edge.post(platformUpdated{u, r.recordAnswer(previous, callStart)})
	r.setPosition(u.Position(), false)
	if len(u.Changes) > 0 {
		r.sleep(time.Duration(batchFraction * float64(r.applyTime)))
	}
	return nil
}

// noteEra logs an answer in another era than the one before. known is the position
// that the edge knew when the call started.
func (r *reader) noteEra(u bbtcatalog.Update, known bbtcatalog.Position) {
	r.mu.Lock()
	before, first := r.era, r.lastAnswer.IsZero()
	r.era = u.Era
	r.mu.Unlock()
	r.edge.counters.Set("platform-era", int64(u.Era))
	if first || before == u.Era {
		return
	}
	version := int64(0)
	for _, c := range u.Changes {
		if c.Config != nil {
			version = c.Config.Version
		}
	}
	r.edge.counters.Add("platform-era-changes", 1)
	r.edge.log.Warn("platform's era changed", zap.Uint64("era", u.Era), zap.Uint64("before", before), zap.Bool("full", u.Full),
		zap.Uint64("revision", u.Revision), zap.Uint64("known-revision", known.Revision), zap.Int64("version", version), zap.Int("changes", len(u.Changes)))
}

// watchTimeout returns how long the platform may hold the next watch.
func (r *reader) watchTimeout() time.Duration {
	if r.applyTime <= 0 {
		return defaultWatch
	}
	fraction := watchFraction
	if r.shortWatch {
		fraction = shortWatchFraction
	}
	jitter := 1 + watchJitter*(2*rand.Float64()-1)
	return time.Duration(fraction * jitter * float64(r.applyTime))
}

// recordAnswer records an answer and reports whether the one before was so long
// before the start of the call that entries may have expired meanwhile.
func (r *reader) recordAnswer(previous, callStart time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastAnswer = time.Now()
	return !previous.IsZero() && callStart.Sub(previous) > outageThreshold
}

// knownPosition returns the position that the edge knows.
func (r *reader) knownPosition() bbtcatalog.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.position
}

// isIdle reports whether this host leaves reading to its peers.
func (r *reader) isIdle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.idle
}

// sleep waits for a time, or until the edge is closed.
func (r *reader) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.edge.ctx.Done():
	}
}
