package bbtdemo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"bluebelltray/io/bbtcaller"
)

// tablePeriod is the time between two tables.
const tablePeriod = 2 * time.Second

// Load runs all callers for the given time, prints the table to w as it grows,
// and returns it.
func (f *Fleet) Load(ctx context.Context, d time.Duration, w io.Writer) *Table {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	table := NewTable()
	var done sync.WaitGroup
	for _, a := range accounts {
		for n := range a.callers {
			c := &caller{account: a, client: bbtcaller.New(a.id, f.CallerAddrs()...), table: table, ctx: ctx, number: n}
			done.Go(c.run)
		}
	}
	ticks := time.NewTicker(tablePeriod)
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
