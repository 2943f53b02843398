package bbtedge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtschedule"
)

// addEndpoint publishes one more endpoint.
func (s *store) addEndpoint(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update.Revision++
	s.update.Changes = append([]bbtcatalog.Change(nil), s.update.Changes...)
	s.update.Changes = append(s.update.Changes, bbtcatalog.Change{Revision: s.update.Revision,
		Endpoint: &bbtcatalog.Endpoint{ID: id, Service: "plain", Address: "10.1.0.2:80", Slots: 16}})
	close(s.changed)
	s.changed = make(chan struct{})
}

// Guards against a host that stands still for good: its event loop waits to pass on a
// second answer to a relocation of which nobody has read the first.
func TestOwnerChangeAfterAnUnreadGrantStopsNoHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, s := newNetwork(t), newStore(1)
		s.addEndpoint("i-1")
		a, b := w.join("a", s), w.join("b", s, "a")
		defer closeAll(a, b)
		time.Sleep(3 * time.Second)
		r := b.Submit(submission(time.Now()))
		d, err := r.Next(t.Context())
		if err != nil {
			t.Fatalf("got %v, want a permit", err)
		}
		rel := r.Relocate(d.Attempt)
		time.Sleep(100 * time.Millisecond)
		if got := b.counters.Get("relocations-granted"); got != 1 {
			t.Fatalf("got %d relocations granted, want 1", got)
		}
		a.Leave() // so that b has another owner
		time.Sleep(3 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		next := b.Submit(submission(time.Now()))
		if _, err := next.Next(ctx); err != nil {
			t.Errorf("got %v for the next request of the host, want a permit", err)
		}
		for range len(rel.answer) + 1 {
			select {
			case <-rel.answer: // lets a standing loop go on, so that the test can end
			default:
			}
			synctest.Wait()
		}
		next.DispatchEnded(bbtschedule.Done{Outcome: bbtschedule.Finished}, false)
		r.DispatchEnded(bbtschedule.Done{Outcome: bbtschedule.Finished}, false)
	})
}

// Guards against answers to relocations that are kept for good: a watchdog asks when its
// dispatch has just ended, and the request is then refused.
func TestRelocationOfAnEndedDispatchLeavesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, s := newNetwork(t), newStore(1)
		a := w.join("a", s)
		defer a.Close()
		time.Sleep(3 * time.Second)
		r := a.Submit(submission(time.Now()))
		d, err := r.Next(t.Context())
		if err != nil {
			t.Fatalf("got %v, want a permit", err)
		}
		r.DispatchEnded(bbtschedule.Done{Outcome: bbtschedule.ConnectionLost}, true)
		r.Relocate(d.Attempt)
		if _, err := r.Next(t.Context()); err == nil {
			t.Fatal("got a permit at the only endpoint again, want a refusal")
		}
		synctest.Wait()
		a.Close()
		if got := len(a.relocations); got != 0 {
			t.Errorf("got %d relocations on record with no request left, want none", got)
		}
	})
}
