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
	mostSeconds = 100_000 // of the timeline
	chartWidth  = 60
	maxWaitMS   = 10 * 60 * 1000
	waitDigits  = 2
)

// cause is a row of the table of refusals and failures.
type cause struct {
	reason, node, endpoint string
	status                 int
}

// second is a column of the timeline.
type second struct{ good, bad int }

// Summary counts the requests of a span of time: refusals and failures by cause,
// a histogram of waits, and a timeline.
type Summary struct {
	from, to time.Time // zero for open
	causes   map[cause]int
	waits    *hdrhistogram.Histogram
	seconds  map[int64]second
	requests int
}

// NewSummary returns a table of the requests between two times; zero times are
// open ends.
func NewSummary(from, to time.Time) *Summary {
	return &Summary{
		from: from, to: to, causes: make(map[cause]int), seconds: make(map[int64]second),
		waits: hdrhistogram.New(1, maxWaitMS, waitDigits),
	}
}

// Add takes a line in.
func (t *Summary) Add(l Line) {
	if l.Message != messageRequest || !t.from.IsZero() && l.Time.Before(t.from) || !t.to.IsZero() && l.Time.After(t.to) {
		return
	}
	t.requests++
	bad := l.Reason != "" || l.Status >= 400 || l.Status == 0
	if bad {
		t.causes[t.causeOf(l)]++
	}
	if len(l.Dispatches) > 0 {
		_ = t.waits.RecordValue(min(max(l.WaitedMS, 1), maxWaitMS)) // within its range
	}
	if len(t.seconds) < mostSeconds {
		s := t.seconds[l.Time.Unix()]
		if bad {
			s.bad++
		} else {
			s.good++
		}
		t.seconds[l.Time.Unix()] = s
	}
}

// causeOf returns the row that a failed request belongs to.
func (t *Summary) causeOf(l Line) cause {
	c := cause{reason: l.Reason, node: l.Node, status: l.Status}
	if n := len(l.Dispatches); n > 0 {
		c.endpoint, _, _ = strings.Cut(l.Dispatches[n-1], " ")
	}
	if c.reason == "" {
		c.reason = "endpoint-failed"
	}
	return c
}

// Write writes the table.
func (t *Summary) Write(w io.Writer) error {
	fmt.Fprintf(w, "%d requests\n\n", t.requests)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "count\treason\tstatus\thost\tendpoint")
	rows := slices.SortedFunc(maps.Keys(t.causes), func(a, b cause) int {
		return cmp.Or(cmp.Compare(t.causes[b], t.causes[a]), cmp.Compare(a.reason, b.reason),
			cmp.Compare(a.node, b.node), cmp.Compare(a.endpoint, b.endpoint), cmp.Compare(a.status, b.status))
	})
	for _, c := range rows {
		fmt.Fprintf(tw, "%d\t%s\t%d\t%s\t%s\n", t.causes[c], c.reason, c.status, c.node, c.endpoint)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	t.writeWaits(w)
	return t.writeTimeline(w)
}

// writeWaits writes the histogram of waits.
func (t *Summary) writeWaits(w io.Writer) {
	fmt.Fprintln(w, "\nwait before dispatch, ms")
	for _, q := range [...]float64{50, 90, 99, 99.9, 100} {
		fmt.Fprintf(w, "  %5.1f%%  %d\n", q, t.waits.ValueAtQuantile(q))
	}
}

// writeTimeline writes a bar for each second: # for good requests, x for
// others.
func (t *Summary) writeTimeline(w io.Writer) error {
	most := 1
	for _, s := range t.seconds {
		most = max(most, s.good+s.bad)
	}
	fmt.Fprintf(w, "\nrequests ended in each second (# good, x refused or failed; full width %d)\n", most)
	for _, at := range slices.Sorted(maps.Keys(t.seconds)) {
		s := t.seconds[at]
		bad := (s.bad*chartWidth + most - 1) / most
		good := s.good * chartWidth / most
		if _, err := fmt.Fprintf(w, "%s %s%s\n", time.Unix(at, 0).UTC().Format(time.TimeOnly), strings.Repeat("#", good), strings.Repeat("x", bad)); err != nil {
			return err
		}
	}
	return nil
}
