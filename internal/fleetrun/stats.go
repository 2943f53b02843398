package main

import (
	"fmt"
	"runtime"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// header names the columns of a row.
const header = "hosts\tendpoints\tcontracts\tscenario\treads/s-peak\treads/s-mean\twatches\t" +
	"B/s-mean\tB/s-max\tmissing\tp50-ms\tp99-ms\tmax-ms\tidle-max-s\tover-max\tfalse-alarms\twrong-at-end\tcpu-%\theap-MB"

const (
	maxRecordedTime   = 10 * time.Minute // largest value of the histogram
	significantDigits = 3                // precision of the histogram
)

// stats holds the measurements of one scenario.
type stats struct {
	startedAt time.Time
	calls     map[int]int // platform calls in each second
	watches   int         // largest number of watches pending at once
	durations *hdrhistogram.Histogram
	missing   int // hosts that have not reached the measured state
}

// newStats returns the stats of a scenario that starts at now.
func newStats(now time.Time) *stats {
	return &stats{
		startedAt: now,
		calls:     make(map[int]int),
		durations: hdrhistogram.New(0, maxRecordedTime.Milliseconds(), significantDigits),
	}
}

// countCall counts a call to the platform.
func (s *stats) countCall(now time.Time) { s.calls[int(now.Sub(s.startedAt)/time.Second)]++ }

// record adds a duration that the scenario measures.
func (s *stats) record(d time.Duration) {
	if err := s.durations.RecordValue(d.Milliseconds()); err != nil {
		panic(err)
	}
}

// row returns the scenario's row of the table.
func (s *stats) row(w *world, name string) string {
	seconds := w.now.Sub(s.startedAt).Seconds()
	peak, total := 0, 0
	for _, n := range s.calls {
		peak = max(peak, n)
		total += n
	}
	bytes, most := 0, 0
	var cpu time.Duration
	for _, h := range w.hosts {
		bytes += h.transferred
		most = max(most, h.transferred)
		cpu += h.cpu
	}
	n := float64(len(w.hosts))
	return strings.Join([]string{
		fmt.Sprint(len(w.hosts)), fmt.Sprint(len(w.endpoints)), fmt.Sprint(len(w.contracts)), name,
		fmt.Sprint(peak), fmt.Sprintf("%.1f", float64(total)/seconds), fmt.Sprint(s.watches),
		fmt.Sprintf("%.0f", float64(bytes)/n/seconds), fmt.Sprintf("%.0f", float64(most)/seconds),
		fmt.Sprint(s.missing),
		fmt.Sprint(s.durations.ValueAtQuantile(50)), fmt.Sprint(s.durations.ValueAtQuantile(99)), fmt.Sprint(s.durations.Max()),
		fmt.Sprintf("%.1f", w.checks.longestUnowned.Seconds()), fmt.Sprint(w.checks.maxExcess), fmt.Sprint(w.checks.falseAlarms), fmt.Sprint(w.falselyDeadPairs()),
		fmt.Sprintf("%.3f", 100*cpu.Seconds()/n/seconds), fmt.Sprintf("%.2f", heapMegabytes()/n),
	}, "\t")
}

// heapMegabytes returns the size of the live heap after a collection.
func heapMegabytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1e6
}
