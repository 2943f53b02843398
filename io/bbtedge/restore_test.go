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
		if got := e.counters.Get("platform-era-changes"); got != 1 {
			t.Errorf("got %d counted changes of the era, want 1", got)
		}
	})
}
