package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"
)

// The times of the measurement.
const (
	horizon     = 2 * time.Hour
	detection   = 10 * time.Second // from a death to the list without the host
	bootTime    = 20 * time.Second // from a graceful end to the next process
	pauseTime   = 30 * time.Second
	regionLoss  = time.Hour
	zones       = 7
	perSecond   = 4 // first attempts that are looked at each second
	million     = 1e6
	rollingPart = 10
)

// changes prints the refused first attempts after each change of the fleet.
type changes struct {
	Hosts []int  `default:"8,40,400" help:"Sizes of the fleet."`
	Seed  uint64 `default:"1" help:"Seed of the keys and lags."`
}

// change is one kind of change. It plans what happens after it.
type change struct {
	name string
	plan func(f *fleet, at *agenda)
}

// agenda holds what is to happen at each second after the change.
type agenda struct{ due map[time.Duration][]func() }

// after plans something.
func (a *agenda) after(d time.Duration, do func()) { a.due[d] = append(a.due[d], do) }

// kinds are the changes, as an ordinary fleet sees them.
var kinds = []change{
	{"none", func(*fleet, *agenda) {}},
	{"join", func(f *fleet, at *agenda) { at.after(0, func() { f.join() }) }},
	{"leave", leave},
	{"kill", kill},
	{"restart-in-place", restart},
	{"rolling-restart", rolling},
	{"zone-lost", zoneLost},
	{"pause", pause},
	{"regions-cut", regionsCut},
	{"list-unreadable", unreadable},
	{"revision-skipped", skipped},
}

// leave takes a host off the list; its process runs on for the window.
func leave(f *fleet, at *agenda) {
	at.after(0, func() { f.unlist(f.hosts[0]) })
	at.after(horizon/2, func() { f.hosts[0].alive = false })
}

// unlist takes hosts off the list.
func (f *fleet) unlist(hosts ...*process) {
	for _, p := range hosts {
		f.listed[p.id] = false
	}
	f.publish()
}

// kill ends a process at once.
func kill(f *fleet, at *agenda) {
	at.after(0, func() { f.hosts[0].alive = false })
	at.after(detection, func() { f.unlist(f.hosts[0]) })
}

// restart replaces a process faster than the list notices.
func restart(f *fleet, at *agenda) {
	at.after(0, func() { f.start(f.hosts[0]) })
}

// rolling replaces a tenth of the hosts one after another, gracefully.
func rolling(f *fleet, at *agenda) {
	for i := range max(1, len(f.hosts)/rollingPart) {
		p := f.hosts[i]
		begin := time.Duration(i) * time.Minute
		at.after(begin, func() { f.unlist(p) })
		at.after(begin+bootTime, func() {
			f.start(p)
			f.listed[p.id] = true
			f.publish()
		})
	}
}

// zoneLost ends the processes of a zone at once.
func zoneLost(f *fleet, at *agenda) {
	zone := f.hosts[:max(1, len(f.hosts)/zones)]
	at.after(0, func() {
		for _, p := range zone {
			p.alive = false
		}
	})
	at.after(detection, func() { f.unlist(zone...) })
}

// pause stops a process for a time that the list does not notice.
func pause(f *fleet, at *agenda) {
	at.after(0, func() { f.hosts[0].paused = true })
	at.after(pauseTime, func() { f.hosts[0].paused = false })
}

// regionsCut cuts the fleet in two halves for an hour; both read the list.
func regionsCut(f *fleet, at *agenda) {
	half := f.hosts[:len(f.hosts)/2]
	at.after(0, func() { f.setSide(half, 1) })
	at.after(regionLoss, func() { f.setSide(half, 0) })
}

// setSide moves hosts to a side.
func (f *fleet) setSide(hosts []*process, side int) {
	for _, p := range hosts {
		p.side = side
	}
}

// unreadable makes the list unreadable for an hour.
func unreadable(f *fleet, at *agenda) {
	at.after(0, func() { f.mute = true })
	at.after(regionLoss, func() { f.mute = false })
}

// skipped publishes two revisions faster than hosts read them, which they
// notice by the gap.
func skipped(f *fleet, at *agenda) {
	at.after(0, func() {
		f.publish()
		f.publish()
		f.lists = append(f.lists[:len(f.lists)-2], f.lists[len(f.lists)-1])
	})
}

// Run prints one row for each size, change and way.
func (c changes) Run() error {
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', tabwriter.AlignRight|tabwriter.Debug)
	fmt.Fprintln(out, "hosts\tchange\tway\tpeak share\tminutes\tfirst attempts refused in 2 h (ppm)\t")
	for _, n := range c.Hosts {
		for _, k := range kinds {
			for _, w := range ways {
				r := measure(newFleet(n, c.Seed), k, w)
				fmt.Fprintf(out, "%d\t%s\t%s\t%.4f\t%.1f\t%.0f\t\n", n, k.name, w.name, r.peak, r.until.Minutes(), r.share*million)
			}
		}
	}
	return out.Flush()
}

// result is what became of the first attempts after a change.
type result struct {
	share float64       // refused over the whole horizon
	peak  float64       // highest share refused in a minute
	until time.Duration // last refusal
}

// measure offers first attempts after a change.
func measure(f *fleet, k change, w way) result {
	at := &agenda{due: make(map[time.Duration][]func())}
	k.plan(f, at)
	var r result
	refused, minute := 0, 0
	for second := time.Duration(0); second < horizon; second += time.Second {
		for _, do := range at.due[second] {
			do()
		}
		for range perSecond {
			key, entry, home := f.attempt()
			if !w.serve(f, key, entry, home) {
				refused++
				minute++
				r.until = second + time.Second
			}
		}
		f.pass()
		if (second+time.Second)%time.Minute == 0 {
			r.peak = max(r.peak, float64(minute)/(perSecond*time.Minute.Seconds()))
			minute = 0
		}
	}
	r.share = float64(refused) / (perSecond * horizon.Seconds())
	return r
}
