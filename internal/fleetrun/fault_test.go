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
	settleTime   = 15 * time.Second // from the start of all hosts to the first fault
	faultTime    = 20 * time.Second // during which faults are in effect
	losslessTime = 6 * time.Second  // without message loss before the last check
	recoveryTime = 40 * time.Second // from the end of all faults to the last check
)

// fault is a kind of failure. Its begin function injects it into a world and returns
// a function that reverts it.
type fault struct {
	name  string
	begin func(w *world) (undo func())
}

var faults = []fault{
	{"kill", func(w *world) func() {
		h := w.randomHost()
		h.stop()
		return h.start
	}},
	{"restart", func(w *world) func() {
		w.randomHost().start()
		return func() {}
	}},
	{"freeze", func(w *world) func() {
		h := w.randomHost()
		h.frozenUntil = w.now.Add(faultTime)
		return func() { h.frozenUntil = w.now }
	}},
	{"partition", func(w *world) func() {
		side := make(map[bbtfleet.HostID]bool)
		for _, h := range w.hosts {
			side[h.id] = w.rng.IntN(2) == 0
		}
		return w.block(func(from, to bbtfleet.HostID) bool {
			return from != "" && to != "" && side[from] != side[to]
		})
	}},
	{"one-way-cut", func(w *world) func() {
		a, b := w.randomHost().id, w.randomHost().id
		return w.block(func(from, to bbtfleet.HostID) bool { return from == a && to == b })
	}},
	{"isolation", func(w *world) func() {
		a := w.randomHost().id
		return w.block(func(from, to bbtfleet.HostID) bool { return from == a || to == a })
	}},
	{"outage", func(w *world) func() {
		w.platform.down = true
		return func() { w.platform.down = false; w.platform.notify() }
	}},
	{"service-restored", func(w *world) func() {
		w.platform.servingBackup = true
		return func() { w.platform.servingBackup = false; w.platform.notify() }
	}},
	{"unlisted", func(w *world) func() {
		h := w.randomHost()
		w.setUnlisted(true, h)
		return func() { w.setUnlisted(false, h) }
	}},
	{"change", func(w *world) func() {
		w.zones[0] = bbtfleet.NewZone(w.zones[0].ID(), "region-0", !w.zones[0].OutOfService())
		w.publish()
		return func() {}
	}},
	// The manifest is published before the parts that it lists.
	{"torn-change", func(w *world) func() {
		old := w.platform.state.parts
		w.contracts[0] = contract(0, int(w.revision)+1)
		w.publish()
		complete := w.platform.state.parts
		w.platform.state.parts = old
		torn := w.revision
		return func() {
			if w.revision == torn {
				w.platform.state.parts = complete
			}
		}
	}},
	{"bad-change", func(w *world) func() {
		w.revision++
		bad := []bbtconfig.Part{bbtconfig.NewPart("contracts", []byte("[contract kerb]\ntier = 99\n"))}
		w.platform.storeConfiguration(bbtconfig.FormatManifest(w.revision, bad), bad)
		return w.publish
	}},
	// A second operator publishes the same revision with other contents.
	{"two-operators", func(w *world) func() {
		w.contracts[0] = contract(0, int(w.revision)+1)
		w.publish()
		w.revision--
		w.contracts[0] = contract(0, int(w.revision)+2)
		return w.publish
	}},
}

func (w *world) randomHost() *host { return w.hosts[w.rng.IntN(len(w.hosts))] }

// block drops further messages for which lost reports true, and returns a function
// that lets them through again.
func (w *world) block(lost func(from, to bbtfleet.HostID) bool) func() {
	active := true
	previous := w.blocked
	w.blocked = func(from, to bbtfleet.HostID) bool { return previous(from, to) || active && lost(from, to) }
	return func() { active = false }
}

// newSmallWorld returns a running world of n hosts with message loss.
func newSmallWorld(n int, seed uint64) *world {
	w := newWorld(settings{Hosts: n, Endpoints: 2 * n, Contracts: 3, Zones: min(n, 3), Seed: seed})
	w.lossRate = 0.01
	start(w)
	w.runChecked(settleTime)
	return w
}

// violationsUnder injects each fault at its time, ends all at faultTime, and returns
// the violations during and after them.
func (w *world) violationsUnder(faults []fault, at []time.Duration) []string {
	for i, f := range faults {
		w.schedule(at[i], func() {
			undo := f.begin(w)
			w.schedule(faultTime-at[i], undo)
		})
	}
	w.runChecked(faultTime + recoveryTime - losslessTime)
	w.lossRate = 0
	w.runChecked(losslessTime)
	for _, h := range w.runningHosts() {
		if got, want := h.view.Version(), w.hosts[0].view.Version(); got != want {
			w.checks.addViolation(w, "%s has configuration %v, %s has %v", h.id, got, w.hosts[0].id, want)
		}
		if got := h.view.Version().Revision(); got != w.revision {
			w.checks.addViolation(w, "%s has configuration revision %d, the published one is %d", h.id, got, w.revision)
		}
		if !h.view.Fresh(w.now) {
			w.checks.addViolation(w, "%s has a view that is not fresh", h.id)
		}
	}
	for _, e := range w.endpoints {
		sum := 0
		for _, h := range w.runningHosts() {
			sum += h.slots(e.ID())
		}
		if sum != e.Slots() {
			w.checks.addViolation(w, "%s has %d slots, hosts hold rights to %d", e.ID(), e.Slots(), sum)
		}
	}
	return w.checks.violations
}

func TestEachPairOfFaults(t *testing.T) {
	for i, a := range faults {
		for _, b := range faults[i:] {
			t.Run(a.name+"+"+b.name, func(t *testing.T) {
				w := newSmallWorld(5, uint64(i))
				for _, v := range w.violationsUnder([]fault{a, b}, []time.Duration{0, faultTime / 4}) {
					t.Error(v)
				}
			})
		}
	}
}

func TestRandomFaults(t *testing.T) {
	setFlag(t, "rapid.seed", "1")
	setFlag(t, "rapid.checks", "40")
	setFlag(t, "rapid.nofailfile", "true")
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
		if got := newSmallWorld(n, seed).violationsUnder(chosen, at); len(got) > 0 {
			t.Fatal(fmt.Sprint(got))
		}
	})
}

// setFlag sets a command-line flag of the test binary.
func setFlag(t *testing.T, name, value string) {
	t.Helper()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}
