package main

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"bluebelltray/core/bbtconfig"
	"bluebelltray/core/bbtfleet"
	"pgregory.net/rapid"
)

const (
	settleTime = 15 * time.Second // from the start of all hosts to the first fault
	faultTime  = 20 * time.Second // that faults last at most
	quietTime  = 6 * time.Second  // before the last check, in which no message is lost
	healTime   = 40 * time.Second // from the end of all faults to the last check
)

// fault breaks something in a world and returns how it is mended.
type fault struct {
	name  string
	begin func(w *world) (mend func())
}

var faults = []fault{
	{"kill", func(w *world) func() {
		h := w.pick()
		h.stop()
		return h.start
	}},
	{"restart", func(w *world) func() {
		w.pick().start()
		return func() {}
	}},
	{"freeze", func(w *world) func() {
		h := w.pick()
		h.frozen = w.now.Add(faultTime)
		return func() { h.frozen = w.now }
	}},
	{"partition", func(w *world) func() {
		side := make(map[bbtfleet.HostID]bool)
		for _, h := range w.hosts {
			side[h.id] = w.rng.IntN(2) == 0
		}
		return w.sever(func(from, to bbtfleet.HostID) bool {
			return from != "" && to != "" && side[from] != side[to]
		})
	}},
	{"one-way-cut", func(w *world) func() {
		a, b := w.pick().id, w.pick().id
		return w.sever(func(from, to bbtfleet.HostID) bool { return from == a && to == b })
	}},
	{"isolation", func(w *world) func() {
		a := w.pick().id
		return w.sever(func(from, to bbtfleet.HostID) bool { return from == a || to == a })
	}},
	{"outage", func(w *world) func() {
		w.platform.down = true
		return func() { w.platform.down = false; w.platform.notify() }
	}},
	{"service-restored", func(w *world) func() {
		w.platform.restored = true
		return func() { w.platform.restored = false; w.platform.notify() }
	}},
	{"unlisted", func(w *world) func() {
		h := w.pick()
		w.relist(true, h)
		return func() { w.relist(false, h) }
	}},
	{"change", func(w *world) func() {
		w.zones[0] = bbtfleet.NewZone(w.zones[0].ID(), "region-0", !w.zones[0].OutOfService())
		w.publish()
		return func() {}
	}},
	{"torn-change", func(w *world) func() {
		old := w.platform.state.parts
		w.contracts[0] = contract(0, int(w.revision)+1)
		w.publish()
		whole := w.platform.state.parts
		w.platform.state.parts = old
		torn := w.revision
		return func() {
			if w.revision == torn {
				w.platform.state.parts = whole
			}
		}
	}},
	{"bad-change", func(w *world) func() {
		w.revision++
		bad := []bbtconfig.Part{bbtconfig.NewPart("contracts", []byte("[contract kerb]\ntier = 99\n"))}
		w.platform.put(bbtconfig.FormatManifest(w.revision, bad), bad)
		return w.publish
	}},
	{"two-operators", func(w *world) func() {
		w.contracts[0] = contract(0, int(w.revision)+1)
		w.publish()
		w.revision--
		w.contracts[0] = contract(0, int(w.revision)+2)
		return w.publish
	}},
}

// pick returns a random host.
func (w *world) pick() *host { return w.hosts[w.rng.IntN(len(w.hosts))] }

// sever loses further messages and returns how they are let through again.
func (w *world) sever(lost func(from, to bbtfleet.HostID) bool) func() {
	on := true
	before := w.severed
	w.severed = func(from, to bbtfleet.HostID) bool { return before(from, to) || on && lost(from, to) }
	return func() { on = false }
}

// small returns a running world of n hosts in which the host list follows kills
// late.
func small(n int, seed uint64) *world {
	w := newWorld(settings{Hosts: n, Endpoints: 2 * n, Contracts: 3, Zones: min(n, 3), Seed: seed})
	w.loss = 0.01
	start(w)
	w.watch(settleTime)
	return w
}

// brokenBy runs the faults and returns what does not hold during and after
// them.
func (w *world) brokenBy(faults []fault, at []time.Duration) []string {
	for i, f := range faults {
		w.at(at[i], func() {
			mend := f.begin(w)
			w.at(faultTime-at[i], mend)
		})
	}
	w.watch(faultTime + healTime - quietTime)
	w.loss = 0
	w.watch(quietTime)
	for _, h := range w.up() {
		if got, want := h.keeper.Version(), w.hosts[0].keeper.Version(); got != want {
			w.checks.violate(w, "%s has %v, %s has %v", h.id, got, w.hosts[0].id, want)
		}
		if got := h.keeper.Version().Revision(); got != w.revision {
			w.checks.violate(w, "%s has revision %d, published is %d", h.id, got, w.revision)
		}
		if !h.keeper.Fresh(w.now) {
			w.checks.violate(w, "%s has no fresh view", h.id)
		}
	}
	for _, e := range w.endpoints {
		sum := 0
		for _, h := range w.up() {
			sum += h.slots(e.ID())
		}
		if sum != e.Slots() {
			w.checks.violate(w, "%s has %d slots, rights to %d", e.ID(), e.Slots(), sum)
		}
	}
	return w.checks.violations
}

func TestEachFaultAndPair(t *testing.T) {
	for i, a := range faults {
		for _, b := range faults[i:] {
			t.Run(a.name+"+"+b.name, func(t *testing.T) {
				w := small(5, uint64(i))
				for _, v := range w.brokenBy([]fault{a, b}, []time.Duration{0, faultTime / 4}) {
					t.Error(v)
				}
			})
		}
	}
}

func TestRandomFaults(t *testing.T) {
	set(t, "rapid.seed", "1")
	set(t, "rapid.checks", "40")
	set(t, "rapid.nofailfile", "true")
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 8).Draw(t, "hosts")
		seed := rapid.Uint64Range(0, 1<<20).Draw(t, "seed")
		kinds := rapid.SliceOfN(rapid.IntRange(0, len(faults)-1), 1, 5).Draw(t, "faults")
		var chosen []fault
		var at []time.Duration
		for _, k := range kinds {
			chosen = append(chosen, faults[k])
			ms := rapid.IntRange(0, int(faultTime.Milliseconds())-1).Draw(t, "at")
			at = append(at, time.Duration(ms)*time.Millisecond)
		}
		if got := small(n, seed).brokenBy(chosen, at); len(got) > 0 {
			t.Fatal(fmt.Sprint(got))
		}
	})
}

// set sets a flag of the tests.
func set(t *testing.T, name, value string) {
	t.Helper()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}
