// Package bbtworld simulates several executors in virtual time under random
// schedules of faults. It checks that no request runs more than once and that each
// verdict is correct. Tests and measurements use it.
package bbtworld

import (
	"fmt"
	"time"

	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtfleet"
)

// Chooser makes the random choices of a simulation run.
type Chooser interface {
	// IntN returns a number from zero to n-1.
	IntN(n int) int
}

// World simulates a small fleet with its callers, endpoints, network and platform.
type World struct {
	choose         Chooser
	faults         Faults
	now            time.Time
	nodes          []*node
	requests       []*request
	inFlight       []packet
	committed      []dispatchedCall
	running        []dispatchedCall
	reads          []listRead
	partitioned    map[link]bool
	disconnections []disconnection
	lists          []hostList
	nextCall       bbtexec.CallID
	tally          Tally
	violation      error
}

// New returns a world with the given number of hosts, all of which are on the
// platform's host list.
func New(c Chooser, hosts int, f Faults) *World {
	w := &World{choose: c, faults: f, now: time.Unix(0, 0), partitioned: make(map[link]bool)}
	listed := make([]bool, hosts)
	for i := range hosts {
		w.nodes = append(w.nodes, &node{id: bbtfleet.HostID(fmt.Sprintf("edin-%d", i+1))})
		listed[i] = true
	}
	w.lists = []hostList{{revision: 1, listed: listed, publishedAt: w.now}}
	for _, n := range w.nodes {
		w.start(n)
	}
	w.settle()
	return w
}

// settle confirms the host list to all hosts at advancing times, until every host may
// issue tickets for the keys whose home it is.
func (w *World) settle() {
	for _, d := range []time.Duration{0, lease, settleTime} {
		w.now = w.now.Add(d)
		for _, n := range w.nodes {
			w.confirmView(n, w.now, w.lists[0])
		}
	}
}

// Tally returns the outcomes that the callers have observed so far.
func (w *World) Tally() Tally { return w.tally }

// Err returns the first violation of an invariant, or nil.
func (w *World) Err() error { return w.violation }

// fail records a violation unless there is one already.
func (w *World) fail(format string, args ...any) {
	if w.violation == nil {
		w.violation = fmt.Errorf(format, args...)
	}
}

// oneIn returns true with probability 1/n.
func (w *World) oneIn(n int) bool { return w.choose.IntN(n) == 0 }

// pick returns a random element of s and its index. s must not be empty.
func pick[T any](w *World, s []T) (T, int) {
	i := w.choose.IntN(len(s))
	return s[i], i
}

// remove returns s without the element at index i.
func remove[T any](s []T, i int) []T { return append(s[:i:i], s[i+1:]...) }
