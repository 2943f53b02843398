// Command speccheck searches the Promela models in spec/ exhaustively and
// checks that each mutant model violates the property that it targets.
//
// It needs spin and gcc. The exit status is 1 if a property fails, a mutant
// passes, or a search is truncated by one of its limits.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"
)

// options holds the command-line flags.
type options struct {
	Checks string `help:"INI file that lists the searches." default:"spec/checks.ini"`
	Spec   string `help:"Directory of the models." default:"spec"`
	Jobs   int    `help:"Searches run at once." default:"3"`
	Only   string `help:"Run only the searches whose name starts so." default:""`
}

func main() {
	var opts options
	kong.Parse(&opts, kong.Name("speccheck"))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := check(ctx, opts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// check runs the listed searches and prints one line for each.
func check(ctx context.Context, opts options) error {
	searches, err := loadSearches(opts.Checks)
	if err != nil {
		return err
	}
	r := &runner{specDir: opts.Spec, jobs: opts.Jobs, out: os.Stdout}
	return r.runAll(ctx, selected(searches, opts.Only))
}
