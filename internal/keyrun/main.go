// Command keyrun compares strategies by which at most one ticket of an idempotency
// key leads to a dispatch: the fraction of first attempts that are refused after
// each change of the fleet, and the verdicts under each kind of fault. The output
// is deterministic.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// commands are the subcommands, each of which prints a table.
type commands struct {
	Changes changes `cmd:"" default:"withargs" help:"Refused first attempts after each change of the fleet."`
	Faults  faults  `cmd:"" help:"Verdicts under each kind of fault."`
}

func main() {
	var c commands
	ctx := kong.Parse(&c, kong.Name("keyrun"), kong.Description("Compares strategies by which at most one ticket of an idempotency key leads to a dispatch."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
