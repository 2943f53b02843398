// Command daemoncost measures what an entry host costs when it is idle and
// under load: processor time, memory and control bytes a second.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"syscall"
	"time"

	"bluebelltray/internal/bbtdemo"
	"bluebelltray/io/bbtapp"
	"github.com/alecthomas/kong"
	"go.uber.org/zap"
)

// readyTimeout bounds the start of the fleet.
const readyTimeout = 20 * time.Second

// cli is the command line.
type cli struct {
	Idle time.Duration `default:"10s" help:"How long to measure the idle fleet."`
	Load time.Duration `default:"10s" help:"How long to measure the loaded fleet."`
}

// usage is what the process has used.
type usage struct {
	at        time.Time
	processor time.Duration
	bytes     int64
}

// Run measures a fleet of stand-ins, entry hosts and callers in this process.
func (c *cli) Run() error {
	fleet, err := bbtdemo.Start(zap.NewNop())
	if err != nil {
		return err
	}
	defer fleet.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := fleet.AwaitReady(ctx); err != nil {
		return err
	}
	fmt.Println("state\thosts\tpercent of a core a host\tpeer bytes/s a host\theap MiB a host\trequests/s a host")
	before := used(fleet)
	idle := time.NewTimer(c.Idle)
	defer idle.Stop()
	<-idle.C
	report("idle", fleet, before, 0)
	before = used(fleet)
	table := fleet.Load(context.Background(), c.Load, io.Discard)
	report("loaded", fleet, before, table.Sent())
	return nil
}

// used returns what the process has used until now.
func used(f *bbtdemo.Fleet) usage {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return usage{at: time.Now()}
	}
	return usage{
		at:        time.Now(),
		processor: time.Duration(u.Utime.Nano() + u.Stime.Nano()),
		bytes:     f.CounterTotal("peer-bytes-sent"),
	}
}

// report prints what the process has used since before, for each host.
func report(state string, f *bbtdemo.Fleet, before usage, requests int) {
	now := used(f)
	hosts := float64(f.HostCount())
	seconds := now.at.Sub(before.at).Seconds()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	fmt.Printf("%s\t%d\t%.2f\t%.0f\t%.1f\t%.1f\n", state, f.HostCount(),
		100*(now.processor-before.processor).Seconds()/seconds/hosts,
		float64(now.bytes-before.bytes)/seconds/hosts,
		float64(m.HeapAlloc)/hosts/(1<<20),
		float64(requests)/seconds/hosts)
}

func main() {
	bbtapp.SilenceKratos()
	ctx := kong.Parse(&cli{}, kong.Description("Measures what an entry host costs, idle and under load."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
