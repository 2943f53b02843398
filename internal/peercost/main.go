// Command peercost measures the cost of peer connections per entry host, by
// number of peers: memory, bytes on the wire and CPU time.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
)

// cli holds the command-line flags.
type cli struct {
	Peers    []int         `default:"25,50,100,200" help:"Numbers of peers to measure."`
	Messages int           `default:"50" help:"Messages sent to each peer."`
	Timeout  time.Duration `default:"2m" help:"Longest time for all runs."`
}

// Run prints one row of measurements per number of peers.
func (c *cli) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	fmt.Println("peers\tKiB per connection\tbytes per handshake\tbytes per message\tµs per message")
	for _, n := range c.Peers {
		r, err := measure(ctx, n, c.Messages)
		if err != nil {
			return err
		}
		fmt.Printf("%d\t%.1f\t%.0f\t%.0f\t%.0f\n", n, r.memoryKiB, r.handshakeBytes, r.messageBytes, r.cpuMicros)
	}
	return nil
}

func main() {
	ctx := kong.Parse(&cli{}, kong.Description("Measures the cost of peer connections per entry host."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
