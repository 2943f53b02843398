package bbtedge

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtschedule"
)

// busyEndpoint refuses each request of a host and wants no others for a time.
type busyEndpoint struct {
	id     string
	period time.Duration
	mu     sync.Mutex
	got    []time.Time
}

// serve sends a request of a host to the endpoint that its permit names, and reports
// whether there was one.
func (b *busyEndpoint) serve(ctx context.Context, e *Edge) bool {
	r := e.Submit(submission(time.Now()))
	d, err := r.Next(ctx)
	if err != nil {
		return false
	}
	if d.Endpoint != b.id {
		time.Sleep(100 * time.Millisecond) // until the other endpoint has answered
		r.DispatchEnded(bbtschedule.Done{Outcome: bbtschedule.Finished}, false)
		return true
	}
	b.mu.Lock()
	b.got = append(b.got, time.Now())
	b.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	r.EndpointPaused(d, b.period)
	r.DispatchEnded(bbtschedule.Done{Outcome: bbtschedule.Rejected}, false)
	return true
}

// Guards against a host that sends a busy endpoint what its next owner permits, or itself
// while it is cut off, before the time is over that the endpoint has told it.
func TestBusyEndpointGetsNothingWhoeverOwns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, s := newNetwork(t), newStore(1)
		s.putEndpoint(bbtcatalog.Endpoint{ID: "i-1", Service: "plain", Address: "10.1.0.2:80", Slots: 16})
		edges := make(map[bbtfleet.HostID]*Edge)
		for _, id := range []bbtfleet.HostID{"a", "b", "c", "d"} {
			edges[id] = w.join(id, s, "a")
		}
		time.Sleep(3 * time.Second)
		b := &busyEndpoint{id: "i-0", period: 2500 * time.Millisecond}
		var callers sync.WaitGroup
		served := 0
		send := func(period time.Duration) {
			for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				callers.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
					defer cancel()
					ok := b.serve(ctx, edges["c"])
					b.mu.Lock()
					defer b.mu.Unlock()
					if ok {
						served++
					}
				})
			}
		}
		send(4 * time.Second)
		edges["a"].Close()
		send(4 * time.Second)
		w.setIsolated("c", true)
		send(4 * time.Second)
		w.setIsolated("c", false)
		send(4 * time.Second)
		callers.Wait()
		for i, at := range b.got {
			n := 0
			for _, other := range b.got[i+1:] {
				if d := other.Sub(at); d > 500*time.Millisecond && d < b.period {
					n++
				}
			}
			if n > 2 {
				t.Errorf("got %d requests at the endpoint within its time after %v, want at most 2", n, at.Sub(b.got[0]))
			}
		}
		if got := len(b.got); got < 5 {
			t.Errorf("got %d requests at the endpoint, want some each time that the time is over", got)
		}
		if served < 600 {
			t.Errorf("got %d of 800 requests served, want 600", served)
		}
		closeAll(edges["b"], edges["c"], edges["d"])
	})
}
