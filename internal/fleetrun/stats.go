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
	longestTime = 10 * time.Minute // that the histogram of times holds
	digits      = 3                // of precision of the histogram
)

// stats is what one scenario costs.
type stats struct {
	begun   time.Time
	reads   map[int]int // by second
	watches int         // most that waited at once
	times   *hdrhistogram.Histogram
	missing int // hosts that did not get there
}

// newStats returns stats of a scenario that begins at now.
func newStats(now time.Time) *stats {
	return &stats{
		begun: now,
		reads: make(map[int]int),
		times: hdrhistogram.New(0, longestTime.Milliseconds(), digits),
	}
}

// read counts a call of the platform.
func (s *stats) read(now time.Time) { s.reads[int(now.Sub(s.begun)/time.Second)]++ }

// record records a time that the scenario measures.
func (s *stats) record(d time.Duration) {
	if err := s.times.RecordValue(d.Milliseconds()); err != nil {
		panic(err)
	}
}

// row returns the scenario's columns.
func (s *stats) row(w *world, name string) string {
	seconds := w.now.Sub(s.begun).Seconds()
	peak, total := 0, 0
	for _, n := range s.reads {
		peak = max(peak, n)
		total += n
	}
	bytes, most := 0, 0
	var cpu time.Duration
	for _, h := range w.hosts {
		bytes += h.bytes
		most = max(most, h.bytes)
		cpu += h.cpu
	}
	n := float64(len(w.hosts))
	return strings.Join([]string{
		fmt.Sprint(len(w.hosts)), fmt.Sprint(len(w.endpoints)), fmt.Sprint(len(w.contracts)), name,
		fmt.Sprint(peak), fmt.Sprintf("%.1f", float64(total)/seconds), fmt.Sprint(s.watches),
		fmt.Sprintf("%.0f", float64(bytes)/n/seconds), fmt.Sprintf("%.0f", float64(most)/seconds),
		fmt.Sprint(s.missing),
		fmt.Sprint(s.times.ValueAtQuantile(50)), fmt.Sprint(s.times.ValueAtQuantile(99)), fmt.Sprint(s.times.Max()),
		fmt.Sprintf("%.1f", w.checks.longest.Seconds()), fmt.Sprint(w.checks.over), fmt.Sprint(w.checks.falseAlarms), fmt.Sprint(w.wrong()),
		fmt.Sprintf("%.3f", 100*cpu.Seconds()/n/seconds), fmt.Sprintf("%.2f", heapMegabytes()/n),
	}, "\t")
}

// heapMegabytes returns the live heap in megabytes.
func heapMegabytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1e6
}
