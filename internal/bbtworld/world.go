// Package bbtworld drives several executors in virtual time through random
// schedules of faults, and checks the endpoints' own counts and the truth of
// each verdict. Tests and measurements share it.
package bbtworld

import (
	"fmt"
	"time"

	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtfleet"
)

// Chooser makes the random choices of a run.
type Chooser interface {
	// IntN returns a number from zero to n-1.
	IntN(n int) int
}

// World is a small fleet with its callers, endpoints, network and platform.
type World struct {
	choose   Chooser
	faults   Faults
	now      time.Time
	nodes    []*node
	requests []*request
	net      []packet
	writes   []write
	running  []write
	reads    []read
	cut      map[link]bool
	losses   []loss
	lists    []published
	nextCall bbtexec.CallID
	tally    Tally
	fault    error
}

// New returns a world with the given number of hosts, of which the platform
// lists all.
func New(c Chooser, hosts int, f Faults) *World {
	w := &World{choose: c, faults: f, now: time.Unix(0, 0), cut: make(map[link]bool)}
	listed := make([]bool, hosts)
	for i := range hosts {
		w.nodes = append(w.nodes, &node{id: bbtfleet.HostID(fmt.Sprintf("edin-%d", i+1))})
		listed[i] = true
	}
	w.lists = []published{{revision: 1, listed: listed, at: w.now}}
	for _, n := range w.nodes {
		w.start(n)
	}
	w.settle()
	return w
}

// settle lets the hosts read the list until their homes know all keys.
func (w *World) settle() {
	for _, step := range []time.Duration{0, lease, settleTime} {
		w.now = w.now.Add(step)
		for _, n := range w.nodes {
			w.confirm(n, w.now, w.lists[0])
		}
	}
}

// Tally returns what the callers saw so far.
func (w *World) Tally() Tally { return w.tally }

// Err returns the first broken promise, or nil.
func (w *World) Err() error { return w.fault }

// fail records a broken promise.
func (w *World) fail(format string, args ...any) {
	if w.fault == nil {
		w.fault = fmt.Errorf(format, args...)
	}
}

// chance reports true once in n times.
func (w *World) chance(n int) bool { return w.choose.IntN(n) == 0 }

// pick returns a random element of s, which must not be empty, and its index.
func pick[T any](w *World, s []T) (T, int) {
	i := w.choose.IntN(len(s))
	return s[i], i
}

// drop returns s without the element at index i.
func drop[T any](s []T, i int) []T { return append(s[:i:i], s[i+1:]...) }
