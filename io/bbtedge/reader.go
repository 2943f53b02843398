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
	// watchPart and shortPart are the parts of the time in which a change has to
	// be in force for which the platform may hold a watch, the second one in a
	// large fleet, where few hosts read. A watch may go silent for good, and only
	// its end shows that.
	watchPart    = 1.2
	shortPart    = 0.6
	watchSpread  = 0.25             // part of that by which watches differ, so that hosts' watches end at different times
	watchDefault = 10 * time.Second // where no such time is stated
	// gatherPart is the part of that time for which changes gather after a watch
	// has brought some, since the platform is paid for by the call.
	gatherPart   = 0.1
	pauseLeast   = 100 * time.Millisecond
	pauseMost    = time.Second
	outageLeast  = time.Second            // without an answer, after which entries may have lapsed
	watchHealthy = 500 * time.Millisecond // in which a watch brings what peers know
	idlePeriod   = 200 * time.Millisecond // between checks of a host that does not read
)

// reader follows the platform and passes on what it publishes.
type reader struct {
	edge   *Edge
	source bluebelltray.Source
	apply  time.Duration // in which a change has to be in force

	mu       sync.Mutex
	revision uint64    // known to the edge
	answered time.Time // when the platform answered last
	stop     context.CancelFunc
	begun    time.Time // when the watch at hand began
	idle     bool      // peers read for this host
	short    bool
}

// confirmed returns when the platform answered last, zero if it never did.
func (r *reader) confirmed() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answered
}

// advance records what the edge knows. What comes from a peer and not from a
// watch that has been waiting shows that the watch's connection is silent.
func (r *reader) advance(revision uint64, fromPeer bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ahead := revision > r.revision
	r.revision = revision
	if fromPeer && ahead && r.stop != nil && time.Since(r.begun) > watchHealthy {
		r.stop()
	}
}

// set tells the reader whether to read at all, and for how long to watch.
func (r *reader) set(reads, short bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.idle, r.short = !reads, short
}

// run reads until the edge is closed.
func (r *reader) run() {
	loaded := false
	down := false
	pause := pauseLeast
	for r.edge.ctx.Err() == nil {
		if r.resting() {
			r.sleep(idlePeriod)
			loaded = r.known() > 0
			continue
		}
		err := r.read(loaded)
		switch {
		case err == nil:
			loaded, pause = true, pauseLeast
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
			r.sleep(pause)
			pause = min(2*pause, pauseMost)
		}
	}
}

// read makes one call and passes on what it brings.
func (r *reader) read(loaded bool) error {
	ctx, cancel := context.WithCancel(r.edge.ctx)
	defer cancel()
	r.mu.Lock()
	after, wait := r.revision, r.wait()
	r.stop, r.begun = cancel, time.Now()
	before := r.answered
	r.mu.Unlock()
	r.edge.counters.Add("platform-reads", 1)
	began := time.Now()
	if !loaded {
		u, err := r.source.Load(ctx)
		if err != nil {
			return err
		}
		r.edge.post(published{u, r.note(before, began)})
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
	r.edge.post(published{u, r.note(before, began)})
	r.mu.Lock()
	r.revision = max(r.revision, u.Revision)
	r.mu.Unlock()
	if len(u.Changes) > 0 {
		r.sleep(time.Duration(gatherPart * float64(r.apply)))
	}
	return nil
}

// wait returns how long the platform may hold the next watch.
func (r *reader) wait() time.Duration {
	if r.apply <= 0 {
		return watchDefault
	}
	part := watchPart
	if r.short {
		part = shortPart
	}
	spread := 1 + watchSpread*(2*rand.Float64()-1)
	return time.Duration(part * spread * float64(r.apply))
}

// note records an answer and reports whether the one before was so long before
// the call that entries may have lapsed meanwhile.
func (r *reader) note(before, began time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered = time.Now()
	return !before.IsZero() && began.Sub(before) > outageLeast
}

// known returns the revision that the edge knows.
func (r *reader) known() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// resting reports whether peers read for this host.
func (r *reader) resting() bool {
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
