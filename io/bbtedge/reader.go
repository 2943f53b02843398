package bbtedge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"bluebelltray"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// watchFraction and shortWatchFraction are the parts of the time in which a change has to
	// be in force for which the platform may hold a watch, the second one in a
	// large fleet, where few hosts read. A watch may go silent for good, and only
	// its end shows that.
	watchFraction      = 1.2
	shortWatchFraction = 0.6
	watchJitter        = 0.25             // part of that by which watches differ, so that hosts' watches end at different times
	defaultWatch       = 10 * time.Second // where no such time is stated
	// batchFraction is the part of that time for which changes gather after a watch
	// has brought some, since the platform is paid for by the call.
	batchFraction   = 0.1
	minBackoff      = 100 * time.Millisecond
	maxBackoff      = time.Second
	outageThreshold = time.Second            // without an answer, after which entries may have lapsed
	staleWatchAge   = 500 * time.Millisecond // in which a watch brings what peers know
	idlePeriod      = 200 * time.Millisecond // between checks of a host that does not read
)

// reader follows the platform and passes on what it publishes.
type reader struct {
	edge      *Edge
	source    bluebelltray.Source
	applyTime time.Duration // in which a change has to be in force

	mu          sync.Mutex
	revision    uint64    // known to the edge
	lastAnswer  time.Time // when the platform answered last
	cancelRead  context.CancelFunc
	readStarted time.Time // when the watch at hand began
	idle        bool      // peers read for this host
	shortWatch  bool
}

// confirmed returns when the platform answered last, zero if it never did.
func (r *reader) confirmedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastAnswer
}

// advance records what the edge knows. What comes from a peer and not from a
// watch that has been waiting shows that the watch's connection is silent.
func (r *reader) setRevision(revision uint64, fromPeer bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ahead := revision > r.revision
	r.revision = revision
	if fromPeer && ahead && r.cancelRead != nil && time.Since(r.readStarted) > staleWatchAge {
		r.cancelRead()
	}
}

// set tells the reader whether to read at all, and for how long to watch.
func (r *reader) setMode(reads, short bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.idle, r.shortWatch = !reads, short
}

// run reads until the edge is closed.
func (r *reader) run() {
	loaded := false
	down := false
	backoff := minBackoff
	for r.edge.ctx.Err() == nil {
		if r.isIdle() {
			r.sleep(idlePeriod)
			loaded = r.knownRevision() > 0
			continue
		}
		err := r.read(loaded)
		switch {
		case err == nil:
			loaded, backoff = true, minBackoff
			if down {
				down = false
				r.edge.log.Info("platform regained")
			}
		case errors.Is(err, bluebelltray.ErrHistoryUnavailable):
			loaded = false
			r.edge.log.Info("platform's history is gone")
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

// read makes one call and passes on what it brings.
func (r *reader) read(loaded bool) error {
	ctx, cancel := context.WithCancel(r.edge.ctx)
	defer cancel()
	r.mu.Lock()
	after, wait := r.revision, r.watchTimeout()
	r.cancelRead, r.readStarted = cancel, time.Now()
	before := r.lastAnswer
	r.mu.Unlock()
	r.edge.counters.Add("platform-reads", 1)
	began := time.Now()
	if !loaded {
		u, err := r.source.Load(ctx)
		if err != nil {
			return err
		}
		r.edge.post(platformUpdated{u, r.recordAnswer(before, began)})
		r.mu.Lock()
		r.revision = max(r.revision, u.Revision)
		r.mu.Unlock()
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
	r.edge.post(platformUpdated{u, r.recordAnswer(before, began)})
	r.mu.Lock()
	r.revision = max(r.revision, u.Revision)
	r.mu.Unlock()
	if len(u.Changes) > 0 {
		r.sleep(time.Duration(batchFraction * float64(r.applyTime)))
	}
	return nil
}

// wait returns how long the platform may hold the next watch.
func (r *reader) watchTimeout() time.Duration {
	if r.applyTime <= 0 {
		return defaultWatch
	}
	part := watchFraction
	if r.shortWatch {
		part = shortWatchFraction
	}
	spread := 1 + watchJitter*(2*rand.Float64()-1)
	return time.Duration(part * spread * float64(r.applyTime))
}

// note records an answer and reports whether the one before was so long before
// the call that entries may have lapsed meanwhile.
func (r *reader) recordAnswer(before, began time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastAnswer = time.Now()
	return !before.IsZero() && began.Sub(before) > outageThreshold
}

// known returns the revision that the edge knows.
func (r *reader) knownRevision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// resting reports whether peers read for this host.
func (r *reader) isIdle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.idle
}

// sleep waits, less if the edge is closed.
func (r *reader) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.edge.ctx.Done():
	}
}
