// Command speccheck searches the Promela models in spec/ exhaustively and
// checks that every mutant model breaks the property it is written against.
//
// It needs spin and a C compiler. The exit status is 1 if a property fails, a
// mutant passes, or a search is cut short by one of its bounds.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"
)

// options are the command line's flags.
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
	r := &runner{spec: opts.Spec, jobs: opts.Jobs, out: os.Stdout}
	return r.all(ctx, selected(searches, opts.Only))
}
