package bbtstory

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxTimelineSeconds    = 100_000
	timelineWidth         = 60 // in characters
	maxWaitMS             = 10 * 60 * 1000
	waitSignificantDigits = 2
)

// cause is the key of a row in the table of refusals and failures.
type cause struct {
	reason, host, endpoint string
	status                 int
}

// outcomeCounts counts the requests that ended in one second.
type outcomeCounts struct{ succeeded, failed int }

// Summary aggregates the requests of a time range: refusals and failures by
// cause, a histogram of wait times, and a timeline.
type Summary struct {
	from, to time.Time // zero for unbounded
	causes   map[cause]int
	waits    *hdrhistogram.Histogram // in milliseconds
	seconds  map[int64]outcomeCounts // by Unix time
	requests int
}

// NewSummary returns an empty summary of the requests between two times. A zero
// time leaves that end unbounded.
func NewSummary(from, to time.Time) *Summary {
	return &Summary{
		from: from, to: to, causes: make(map[cause]int), seconds: make(map[int64]outcomeCounts),
		waits: hdrhistogram.New(1, maxWaitMS, waitSignificantDigits),
	}
}

// Add counts a line if it is a request's line in the time range.
func (s *Summary) Add(l Line) {
	if l.Message != messageRequest || !s.from.IsZero() && l.Time.Before(s.from) || !s.to.IsZero() && l.Time.After(s.to) {
		return
	}
	s.requests++
	failed := l.Reason != "" || l.Status >= 400 || l.Status == 0
	if failed {
		s.causes[s.causeOf(l)]++
	}
	if len(l.Dispatches) > 0 {
		_ = s.waits.RecordValue(min(max(l.WaitedMS, 1), maxWaitMS)) // cannot fail: the value is within the histogram's range
	}
	if len(s.seconds) < maxTimelineSeconds {
		counts := s.seconds[l.Time.Unix()]
		if failed {
			counts.failed++
		} else {
			counts.succeeded++
		}
		s.seconds[l.Time.Unix()] = counts
	}
}

// causeOf returns the cause of a refused or failed request.
func (s *Summary) causeOf(l Line) cause {
	c := cause{reason: l.Reason, host: l.Host, status: l.Status}
	if n := len(l.Dispatches); n > 0 {
		c.endpoint, _, _ = strings.Cut(l.Dispatches[n-1], " ")
	}
	if c.reason == "" {
		c.reason = "endpoint-failed"
	}
	return c
}

// Write writes the summary as text.
func (s *Summary) Write(w io.Writer) error {
	fmt.Fprintf(w, "%d requests\n\n", s.requests)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "count\treason\tstatus\thost\tendpoint")
	rows := slices.SortedFunc(maps.Keys(s.causes), func(a, b cause) int {
		return cmp.Or(cmp.Compare(s.causes[b], s.causes[a]), cmp.Compare(a.reason, b.reason),
			cmp.Compare(a.host, b.host), cmp.Compare(a.endpoint, b.endpoint), cmp.Compare(a.status, b.status))
	})
	for _, c := range rows {
		fmt.Fprintf(tw, "%d\t%s\t%d\t%s\t%s\n", s.causes[c], c.reason, c.status, c.host, c.endpoint)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	s.writeWaits(w)
	return s.writeTimeline(w)
}

// writeWaits writes quantiles of the wait times.
func (s *Summary) writeWaits(w io.Writer) {
	fmt.Fprintln(w, "\nwait before dispatch, ms")
	for _, q := range [...]float64{50, 90, 99, 99.9, 100} {
		fmt.Fprintf(w, "  %5.1f%%  %d\n", q, s.waits.ValueAtQuantile(q))
	}
}

// writeTimeline writes one bar per second: # for successful requests, x for
// refused or failed ones.
func (s *Summary) writeTimeline(w io.Writer) error {
	maxPerSecond := 1
	for _, counts := range s.seconds {
		maxPerSecond = max(maxPerSecond, counts.succeeded+counts.failed)
	}
	fmt.Fprintf(w, "\nrequests ended in each second (# succeeded, x refused or failed; full width: %d requests)\n", maxPerSecond)
	for _, at := range slices.Sorted(maps.Keys(s.seconds)) {
		counts := s.seconds[at]
		failed := (counts.failed*timelineWidth + maxPerSecond - 1) / maxPerSecond
		succeeded := counts.succeeded * timelineWidth / maxPerSecond
		if _, err := fmt.Fprintf(w, "%s %s%s\n", time.Unix(at, 0).UTC().Format(time.TimeOnly), strings.Repeat("#", succeeded), strings.Repeat("x", failed)); err != nil {
			return err
		}
	}
	return nil
}
