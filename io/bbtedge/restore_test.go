package bbtedge

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"bluebelltray/core/bbtcatalog"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// changesAfter returns the changes of a full state after a revision, as a watch
// returns them.
func changesAfter(u bbtcatalog.Update, after uint64) bbtcatalog.Update {
	out := bbtcatalog.Update{Revision: u.Revision, Era: u.Era}
	for _, c := range u.Changes {
		if c.Revision > after {
			out.Changes = append(out.Changes, c)
		}
	}
	return out
}

// content returns the store's content.
func (s *store) content() bbtcatalog.Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.update
	u.Changes = slices.Clone(u.Changes)
	return u
}

// restore replaces the store's content by a copy of an earlier one, which begins an
// era, and cuts all open watches.
func (s *store) restore(earlier bbtcatalog.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	earlier.Era = s.update.Era + 1
	s.update = earlier
	close(s.changed)
	s.changed = make(chan struct{})
}

// setUp makes the store reachable again.
func (s *store) setUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
}

// touch raises the store's revision without a change that hosts know of.
func (s *store) touch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update.Revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

// Guards against a store that has lost acknowledged changes without a trace in the log.
func TestReturnOfAnOlderStateIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, lines := observer.New(zap.InfoLevel)
		w, s := newNetwork(t), newStore(4)
		w.options = []Option{WithLogger(zap.New(core))}
		e := w.join("a", s)
		defer e.Close()
		earlier := s.content()
		s.publish(6)
		time.Sleep(time.Second)
		s.restore(earlier)
		time.Sleep(3 * time.Second)
		logged := lines.FilterMessage("platform's era changed").All()
		if len(logged) != 1 {
			t.Fatalf("got %d lines, want 1", len(logged))
		}
		got := logged[0].ContextMap()
		for field, want := range map[string]any{"era": uint64(1), "before": uint64(0), "revision": uint64(1), "known-revision": uint64(2), "version": int64(4)} {
			if got[field] != want {
				t.Errorf("got %s %v, want %v", field, got[field], want)
			}
		}
		if got := lines.FilterMessage("platform restored from a copy").FilterField(zap.Uint64("revision-before", 2)).Len(); got != 1 {
			t.Errorf("got %d lines on what is kept, want 1", got)
		}
		if got := e.counters.Get("platform-era-changes"); got != 1 {
			t.Errorf("got %d counted changes of the era, want 1", got)
		}
	})
}

// Guards against watches that ask for a place in a state that is gone: the store has come
// back from a copy, its revisions have reached those that hosts know, and a version is
// published just then. Hosts must not miss it, whenever they last loaded the state.
func TestVersionAfterTheReturnOfAnOlderStateReachesAllHosts(t *testing.T) {
	for offset := time.Duration(0); offset < 2*answerTime; offset += answerTime / 4 {
		synctest.Test(t, func(t *testing.T) {
			w, s := newNetwork(t), newStore(4)
			edges := []*Edge{w.join("a", s), w.join("b", s, "a"), w.join("c", s, "a")}
			defer closeAll(edges...)
			earlier := s.content()
			s.publish(6)
			s.publish(13)
			time.Sleep(3 * time.Second)
			s.restore(earlier)
			time.Sleep(time.Second + offset)
			s.publish(13)
			time.Sleep(2 * time.Second)
			s.publish(16)
			time.Sleep(applyTime)
			for _, e := range edges {
				if got := e.Index().Version(); got != 16 {
					t.Errorf("%s: got version %d, want 16 (offset %v)", e.settings.Host, got, offset)
				}
			}
		})
	}
}

// Guards against a first watch that waits for changes of a state that is gone, while the
// store has published others in the meantime under the same revisions.
func TestReturnOfAnOlderStateIsNoticedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, s := newNetwork(t), newStore(4)
		e := w.join("a", s)
		defer e.Close()
		earlier := s.content()
		s.publish(6)
		s.publish(13)
		time.Sleep(3 * time.Second)
		s.setDown()
		s.restore(earlier)
		s.publish(16)
		s.touch()
		time.Sleep(2 * time.Second)
		s.setUp()
		time.Sleep(maxBackoff + 100*time.Millisecond)
		if got := e.Index().Version(); got != 16 {
			t.Errorf("got version %d, want 16", got)
		}
	})
}

// Guards against hosts that load the state of a restored store in a loop, since it
// has no history after the revision that they know.
func TestReturnOfAnOlderStateCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxReads = 5 // a watch that fails, two that time out at most, a load and a retry
		w, s := newNetwork(t), newStore(4)
		e := w.join("a", s)
		defer e.Close()
		earlier := s.content()
		s.publish(6)
		time.Sleep(3 * time.Second)
		before := platformReads([]*Edge{e})
		s.restore(earlier)
		time.Sleep(4 * time.Second)
		if got := platformReads([]*Edge{e}) - before; got > maxReads {
			t.Errorf("got %d reads in 4 s, want at most %d", got, maxReads)
		}
	})
}

// Guards against a storm of calls to a store that cannot keep any history.
func TestRepeatedLossOfTheHistoryBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxReads = 30
		w, s := newNetwork(t), newStore(4)
		s.noHistory = true
		e := w.join("a", s)
		defer e.Close()
		time.Sleep(10 * time.Second)
		if got := platformReads([]*Edge{e}); got > maxReads {
			t.Errorf("got %d reads in 10 s, want at most %d", got, maxReads)
		}
		s.publish(6)
		time.Sleep(applyTime)
		if got := e.Index().Version(); got != 6 {
			t.Errorf("got version %d, want 6", got)
		}
	})
}

// Guards against a version that operators saw confirmed and that is older on hosts
// which first read the store after it had come back without it.
func TestHostsKeepAVersionThatTheStoreHasLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, s := newNetwork(t), newStore(4)
		a := w.join("a", s)
		earlier := s.content()
		s.publish(6)
		time.Sleep(3 * time.Second)
		s.restore(earlier)
		s.touch()
		time.Sleep(3 * time.Second)
		b := w.join("b", s, "a")
		defer closeAll(a, b)
		time.Sleep(applyTime)
		for _, e := range []*Edge{a, b} {
			if got := e.Index().Version(); got != 6 {
				t.Errorf("%s: got version %d, want 6", e.settings.Host, got)
			}
		}
	})
}
