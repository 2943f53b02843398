// Command standin plays one case of the review: a small deployment of the project's
// own processes, with stand-ins for the platform, servers and clients. It exits with 1
// if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	held     = 0
	broken   = 1
	unusable = 2
)

// play is a case. It returns whether the rule was broken.
type play func(f *fleet, trouble bool) (bool, error)

var plays = map[string]play{}

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder of record.txt")
	root := flag.String("root", ".", "the repository")
	flag.Parse()
	os.Exit(run(*name, *dir, *root, os.Getenv("TROUBLE") != "0"))
}

func run(name, dir, root string, trouble bool) int {
	p := plays[name]
	if p == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return unusable
	}
	rec, err := newRecord(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unusable
	}
	defer rec.close()
	f, err := newFleet(rec, root)
	if err != nil {
		rec.say("could not run: %v", err)
		return unusable
	}
	defer f.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		b, err := p(f, trouble)
		done <- result{b, err}
	}()
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			rec.say("could not run: %v", r.err)
			return unusable
		case !f.running():
			return unusable
		case r.broken:
			rec.say("the rule was broken")
			return broken
		default:
			rec.say("the rule held")
			return held
		}
	case <-signals:
		rec.say("could not run: stopped by a signal")
		return unusable
	case <-time.After(115 * time.Second):
		rec.say("could not run: not over after 115 s")
		return unusable
	}
}
