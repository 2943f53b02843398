package main

import (
	"fmt"
	"strings"
	"time"
)

// header names the columns of a row.
var header = strings.Join([]string{
	"scenario", "seed", "hosts", "accounts",
	"offered-tokens", "ideal", "admitted", "admitted/ideal", "large", "small", "excess-s",
	"wait-mean-ms", "messages/s", "B/s-mean", "B/s-max", "accounts-held-max",
}, "\t")

// row is the result of one scenario.
type row struct {
	scenario       string
	seed           uint64
	hosts          int
	tally          tally
	elapsed        time.Duration
	bytes          int // sent by the busiest host
	activeAccounts int // accounts with state at the end, on the host with the most
}

// String returns the row's columns. Rates are per host.
func (r row) String() string {
	seconds := r.elapsed.Seconds()
	hosts := float64(r.hosts)
	wait := time.Duration(0)
	if r.tally.requests > 0 {
		wait = r.tally.waited / time.Duration(r.tally.requests)
	}
	all := r.tally.large.add(r.tally.small)
	return fmt.Sprintf("%s\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.3f\t%.3f\t%.3f\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t%d",
		r.scenario, r.seed, r.hosts, len(r.tally.accounts), all.offered, all.ideal, all.admitted,
		all.ratio(), r.tally.large.ratio(), r.tally.small.ratio(), r.tally.excess(),
		float64(wait.Microseconds())/1000, float64(r.tally.messages)/seconds/hosts,
		float64(r.tally.bytes)/seconds/hosts, float64(r.bytes)/seconds, r.activeAccounts)
}

// newRow returns the result of a fleet that ran for the elapsed time.
func newRow(name string, seed uint64, f *fleet, elapsed time.Duration) row {
	r := row{scenario: name, seed: seed, hosts: len(f.ids), tally: f.tally, elapsed: elapsed}
	for _, id := range f.ids {
		h := f.hosts[id]
		r.bytes = max(r.bytes, h.bytes)
		r.activeAccounts = max(r.activeAccounts, h.limiter.ActiveAccounts())
	}
	return r
}
