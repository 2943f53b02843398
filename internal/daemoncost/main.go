// Command daemoncost measures the cost of an entry host when idle and under load:
// CPU time, memory, and bytes sent to peers per second. CPU time and memory include the
// simulated platform, endpoints and callers.
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

// readyTimeout limits how long the fleet may take to start.
const readyTimeout = 20 * time.Second

// cli holds the command-line flags.
type cli struct {
	Idle time.Duration `default:"10s" help:"How long to measure the idle fleet."`
	Load time.Duration `default:"10s" help:"How long to measure the loaded fleet."`
}

// usage is the resource usage of the process up to a point in time.
type usage struct {
	at        time.Time
	cpuTime   time.Duration
	peerBytes int64
}

// Run measures a fleet that runs in this process: simulated endpoints, entry hosts
// and callers.
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
	fmt.Println("state\thosts\tpercent of a core per host\tpeer bytes/s per host\theap MiB per host\trequests/s per host")
	before := currentUsage(fleet)
	idle := time.NewTimer(c.Idle)
	defer idle.Stop()
	<-idle.C
	printUsage("idle", fleet, before, 0)
	before = currentUsage(fleet)
	results := fleet.Load(context.Background(), c.Load, io.Discard)
	printUsage("loaded", fleet, before, results.Sent())
	return nil
}

// currentUsage returns the resource usage of the process until now.
func currentUsage(f *bbtdemo.Fleet) usage {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return usage{at: time.Now()}
	}
	return usage{
		at:        time.Now(),
		cpuTime:   time.Duration(u.Utime.Nano() + u.Stime.Nano()),
		peerBytes: f.CounterTotal("peer-bytes-sent"),
	}
}

// printUsage prints the usage per host, averaged over the time since before, and
// the heap per host that is in use now.
func printUsage(state string, f *bbtdemo.Fleet, before usage, requests int) {
	now := currentUsage(f)
	hosts := float64(f.HostCount())
	seconds := now.at.Sub(before.at).Seconds()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	fmt.Printf("%s\t%d\t%.2f\t%.0f\t%.1f\t%.1f\n", state, f.HostCount(),
		100*(now.cpuTime-before.cpuTime).Seconds()/seconds/hosts,
		float64(now.peerBytes-before.peerBytes)/seconds/hosts,
		float64(m.HeapAlloc)/hosts/(1<<20),
		float64(requests)/seconds/hosts)
}

func main() {
	bbtapp.SilenceKratos()
	ctx := kong.Parse(&cli{}, kong.Description("Measures the cost of an entry host, idle and under load."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
