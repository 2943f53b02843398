package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"bluebelltray/internal/bbtdemo"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// readyTimeout bounds the time until the fleet of the demo is ready.
const readyTimeout = 15 * time.Second

// demoCmd runs a small fleet in one process.
type demoCmd struct {
	Duration time.Duration `default:"10s" help:"How long the callers send."`
	Verbose  bool          `help:"Log changes of state."`
}

// Run starts the fleet, overloads it and prints goodput by tier.
func (c *demoCmd) Run() error {
	log := zap.NewNop()
	if c.Verbose {
		log = zap.Must(zap.NewDevelopment())
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	fleet, err := bbtdemo.Start(log)
	if err != nil {
		return err
	}
	defer fleet.Stop()
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := fleet.AwaitReady(readyCtx); err != nil {
		return err
	}
	fmt.Println("four entry hosts, four model engines of two speeds; the callers request more than the engines can serve")
	table := fleet.Load(ctx, c.Duration, os.Stdout)
	fmt.Println("result")
	table.Print(os.Stdout)
	fmt.Println("refusals by reason")
	table.PrintReasons(os.Stdout)
	if table.InTime(1) == 0 {
		return errors.New("no request of the highest tier met its deadline")
	}
	return nil
}
