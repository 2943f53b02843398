package bbtdemo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtverdict"
)

// row counts the requests of one tier by outcome.
type row struct {
	sent           int
	answeredInTime int
	late           int
	refused        int
}

// Table counts requests by tier and outcome, and refusals by reason.
type Table struct {
	mu      sync.Mutex
	rows    map[bbtfleet.Tier]*row
	reasons map[bbtverdict.Reason]int
}

// NewTable returns a table with zero counts for all tiers.
func NewTable() *Table {
	t := &Table{
		rows:    make(map[bbtfleet.Tier]*row),
		reasons: make(map[bbtverdict.Reason]int),
	}
	for _, a := range accounts {
		t.rows[a.tier] = new(row)
	}
	return t
}

// count counts one request: refused if err is not nil, otherwise answered in time or
// late.
func (t *Table) count(tier bbtfleet.Tier, err error, inTime bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[tier]
	r.sent++
	switch {
	case err != nil:
		r.refused++
		t.reasons[bbtverdict.FromError(err, bbtverdict.ReasonResponseIncomplete).Reason()]++
	case inTime:
		r.answeredInTime++
	default:
		r.late++
	}
}

// InTime returns the number of requests of a tier that were answered in time.
func (t *Table) InTime(tier bbtfleet.Tier) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[tier].answeredInTime
}

// Sent returns the number of requests sent in all tiers.
func (t *Table) Sent() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, r := range t.rows {
		n += r.sent
	}
	return n
}

// Print prints the counts and the goodput of each tier: the share answered in time.
func (t *Table) Print(w io.Writer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer tw.Flush()
	fmt.Fprintln(tw, "tier\taccount\tsent\tin time\tlate\trefused\tgoodput\t")
	for _, a := range accounts {
		r := t.rows[a.tier]
		share := 0.0
		if r.sent > 0 {
			share = float64(r.answeredInTime) / float64(r.sent)
		}
		fmt.Fprintf(tw, "%d\t%s\t%d\t%d\t%d\t%d\t%.3f\t\n", a.tier, a.id, r.sent, r.answeredInTime, r.late, r.refused, share)
	}
}

// PrintReasons prints how often each refusal reason occurred.
func (t *Table) PrintReasons(w io.Writer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range slices.Sorted(maps.Keys(t.reasons)) {
		fmt.Fprintf(w, "%s\t%d\n", r, t.reasons[r])
	}
}
