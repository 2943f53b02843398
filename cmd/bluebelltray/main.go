// Command bluebelltray runs and inspects entry hosts of a request scheduler.
package main

import (
	"fmt"
	"os"

	"bluebelltray/io/bbtapp"
	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

// cli defines the subcommands.
type cli struct {
	Serve   serveCmd   `cmd:"" help:"Run an entry host."`
	Edge    edgeCmd    `cmd:"" help:"Run an entry host on a platform that publishes routes and servers."`
	Check   checkCmd   `cmd:"" help:"Check settings and configuration files and explain contracts."`
	Demo    demoCmd    `cmd:"" help:"Run platform stand-in, endpoints, entry hosts and callers in one process and show goodput by tier."`
	Send    sendCmd    `cmd:"" help:"Send a request as a caller does and print the answer."`
	Status  statusCmd  `cmd:"" help:"Show a running host's view, endpoints, peers and counters."`
	Explain explainCmd `cmd:"" help:"Tell from log lines what became of a request, or what failed in a span of time."`
}

func main() {
	bbtapp.SilenceKratos()
	ctx := kong.Parse(&cli{},
		kong.Name("bluebelltray"),
		kong.Description("A request scheduler for unlike engines."),
		kong.UsageOnError(),
		kong.Exit(exit))
	os.Exit(exitStatus(ctx.Run()))
}

// exitStatus prints err, if any, and returns the exit status for it.
func exitStatus(err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintf(os.Stderr, "bluebelltray: %v\n", err)
	var e *exitError
	if errors.As(err, &e) {
		return e.ExitCode()
	}
	return 1
}

// exit ends the process. An invalid command line has the exit status of unusable
// input.
func exit(code int) {
	if code != 0 {
		code = exitUnusable
	}
	os.Exit(code)
}
