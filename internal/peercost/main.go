// Command peercost measures what the connections between entry hosts cost one
// host: memory, bytes on the wire and processor time, against the number of
// peers.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
)

// cli is the command line.
type cli struct {
	Peers    []int         `default:"25,50,100,200" help:"Numbers of peers to measure."`
	Messages int           `default:"50" help:"Messages sent to each peer."`
	Timeout  time.Duration `default:"2m" help:"Longest time for all runs."`
}

// Run measures each number of peers and prints a row for it.
func (c *cli) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	fmt.Println("peers\tKiB a connection\tbytes a handshake\tbytes a message\tµs a message")
	for _, n := range c.Peers {
		r, err := measure(ctx, n, c.Messages)
		if err != nil {
			return err
		}
		fmt.Printf("%d\t%.1f\t%.0f\t%.0f\t%.0f\n", n, r.memory, r.handshake, r.message, r.processor)
	}
	return nil
}

func main() {
	ctx := kong.Parse(&cli{}, kong.Description("Measures what connections between entry hosts cost one host."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
