//go:build knownred

package conform

import (
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"pgregory.net/rapid"
)

// pass runs the hosts for d without losses but on links that are cut.
func (w *world) pass(d time.Duration, cut func(*host) bool) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.tick()
		for len(w.messages) > 0 {
			m := w.messages[0]
			w.messages = w.messages[1:]
			if m.from.paused == 0 && m.to.paused == 0 && !cut(m.from) && !cut(m.to) {
				w.do(m.to, m.to.elector.Receive(w.now, m.from.id, m.body))
			}
		}
	}
}

// ranked returns the hosts in the order of their rank.
func (w *world) ranked() []*host {
	var out []*host
	for _, id := range w.placing().Ranks(engine) {
		for _, h := range w.hosts {
			if h.id == id {
				out = append(out, h)
			}
		}
	}
	return out
}

// The third elector misses the later ownerships of the first; the second, the
// only other one that knows of them, restarts while the first is paused.
func TestFenceIsKeptWhenAnElectorRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		r := w.ranked()
		first, second, third := r[0], r[1], r[2]
		none := func(*host) bool { return false }
		w.pass(20*time.Second, none)
		for range 3 {
			first.paused = 1000
			w.pass(4*time.Second, func(h *host) bool { return h == third })
			first.paused = 0
			w.pass(8*time.Second, func(h *host) bool { return h == third })
		}
		w.permit(first)
		late := w.orders
		w.orders = nil
		first.paused = 10000
		w.start(second)
		w.pass(30*time.Second, none)
		w.permit(second)
		w.permit(third)
		for len(w.orders) > 0 {
			w.arrive()
		}
		w.orders = late
		w.arrive()
		if err := FenceKept(w.trace); err != nil {
			t.Fatal(err)
		}
	})
}

// What a former owner dispatched may still run, although its permits have
// expired, so a new owner of a cold endpoint needs a report first.
func TestNewOwnerOfAColdEndpointAwaitsAReport(t *testing.T) {
	now := time.Unix(0, 0)
	o := bbtgrant.New()
	o.Own(now, []bbtfleet.Endpoint{bbtfleet.NewEndpoint(engine, "edin-a", bbtfleet.ModelEngine, "summary", bbtfleet.WithSlots(8))})
	now = now.Add(time.Minute)
	o.Confirm(now)
	got := o.Register(now, "entry-1", bbtgrant.Registration{Request: 1, Pool: "summary", Tier: 1, Left: time.Minute})
	if len(got) != 0 {
		t.Errorf("got %+v before the first load report, want nothing", got)
	}
}
