// Command bluebelltray runs and inspects entry hosts of the request scheduler.
package main

import (
	"os"

	"bluebelltray/io/bbtapp"
	"github.com/alecthomas/kong"
)

// cli is the command line.
type cli struct {
	Serve  serveCmd  `cmd:"" help:"Run an entry host."`
	Demo   demoCmd   `cmd:"" help:"Run platform stand-in, endpoints, entry hosts and callers in one process and show goodput by tier."`
	Send   sendCmd   `cmd:"" help:"Send a request as a caller does and print the answer."`
	Status statusCmd `cmd:"" help:"Show a running host's view, endpoints, peers and counters."`
}

func main() {
	bbtapp.SilenceFramework()
	ctx := kong.Parse(&cli{},
		kong.Name("bluebelltray"),
		kong.Description("A request scheduler for unlike engines."),
		kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
	os.Exit(0)
}
