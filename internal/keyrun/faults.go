package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"text/tabwriter"

	"bluebelltray/internal/bbtworld"
)

// faults is the command that prints the verdicts under each kind of fault.
type faults struct {
	Seeds uint64 `default:"200" help:"Schedules of each kind."`
	Hosts int    `default:"4" help:"Entry hosts."`
	Steps int    `default:"1500" help:"Steps of a schedule."`
}

// Run prints one row for each kind of fault.
func (f faults) Run() error {
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', tabwriter.AlignRight|tabwriter.Debug)
	fmt.Fprintln(out, "fault\trequests\tanswers\tcounted attempts\tmay-have-run\tshare\tnever ran\t"+
		"uncounted attempts\tmay-have-run\tshare\tnever ran\tviolations\t")
	for kind := bbtworld.Faults(0); kind < bbtworld.AllFaults; kind = max(1, 2*kind) {
		f.row(out, kind)
	}
	f.row(out, bbtworld.AllFaults)
	return out.Flush()
}

// row prints the totals over all schedules of one kind of fault.
func (f faults) row(out *tabwriter.Writer, kind bbtworld.Faults) {
	var sum bbtworld.Tally
	violations := 0
	for seed := range f.Seeds {
		w := bbtworld.New(rand.New(rand.NewPCG(seed, uint64(kind))), f.Hosts, kind)
		w.Run(f.Steps)
		w.Quiesce()
		if w.Err() != nil {
			violations++
		}
		sum.Add(w.Tally())
	}
	uncounted, uncountedMayHaveRun := sum.Attempts-sum.CountedAttempts, sum.MayHaveRun-sum.CountedMayHaveRun
	fmt.Fprintf(out, "%v\t%d\t%d\t%d\t%d\t%.4f\t%d\t%d\t%d\t%.4f\t%d\t%d\t\n", kind, sum.Requests, sum.Responses,
		sum.CountedAttempts, sum.CountedMayHaveRun, share(sum.CountedMayHaveRun, sum.CountedAttempts), sum.CountedUnexecuted,
		uncounted, uncountedMayHaveRun, share(uncountedMayHaveRun, uncounted), sum.MayHaveRunUnexecuted-sum.CountedUnexecuted, violations)
}

// share returns part as a fraction of whole.
func share(part, whole int) float64 { return float64(part) / float64(max(1, whole)) }
