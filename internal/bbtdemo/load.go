package bbtdemo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"bluebelltray/io/bbtcaller"
)

// printInterval is the interval at which the table is printed.
const printInterval = 2 * time.Second

// Load runs all callers for duration d, prints the current table to w at regular
// intervals and returns the final table.
func (f *Fleet) Load(ctx context.Context, d time.Duration, w io.Writer) *Table {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	table := NewTable()
	var done sync.WaitGroup
	for _, a := range accounts {
		for n := range a.callerCount {
			c := &caller{account: a, client: bbtcaller.New(a.id, f.CallerAddrs()...), table: table, ctx: ctx, index: n}
			done.Go(c.run)
		}
	}
	ticks := time.NewTicker(printInterval)
	defer ticks.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticks.C:
			table.Print(w)
			fmt.Fprintln(w)
		case <-ctx.Done():
		}
	}
	done.Wait()
	return table
}
