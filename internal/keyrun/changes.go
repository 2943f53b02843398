package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"
)

// The parameters of the measurement.
const (
	measuredTime      = 2 * time.Hour
	detectionDelay    = 10 * time.Second // from a host's death to a host list without it
	restartDelay      = 20 * time.Second // from a host's removal from the list to the start of its next process
	pauseTime         = 30 * time.Second
	outageTime        = time.Hour
	zones             = 7
	attemptsPerSecond = 4 // sampled first attempts per second
	partsPerMillion   = 1e6
	rollingDivisor    = 10 // a rolling restart restarts one in rollingDivisor hosts
)

// changes is the command that prints the refused first attempts after each kind of
// change of the fleet.
type changes struct {
	Hosts []int  `default:"8,40,400" help:"Sizes of the fleet."`
	Seed  uint64 `default:"1" help:"Seed of the keys and lags."`
}

// change is one kind of change of the fleet; plan schedules its steps.
type change struct {
	name string
	plan func(f *fleet, s *schedule)
}

// schedule holds the actions for each second after the start of a change.
type schedule struct{ actions map[time.Duration][]func() }

// after schedules an action.
func (s *schedule) after(d time.Duration, action func()) { s.actions[d] = append(s.actions[d], action) }

// changeKinds are the changes that occur in the operation of a fleet.
var changeKinds = []change{
	{"none", func(*fleet, *schedule) {}},
	{"join", func(f *fleet, s *schedule) { s.after(0, func() { f.join() }) }},
	{"leave", leave},
	{"kill", kill},
	{"restart-in-place", restartInPlace},
	{"rolling-restart", rollingRestart},
	{"zone-lost", zoneLost},
	{"pause", pause},
	{"regions-cut", partitionHalves},
	{"list-unreadable", makeListUnreadable},
	{"revision-skipped", revisionSkipped},
}

// leave removes a host from the list; its process keeps running for half of the
// measured time.
func leave(f *fleet, s *schedule) {
	s.after(0, func() { f.unlist(f.hosts[0]) })
	s.after(measuredTime/2, func() { f.hosts[0].alive = false })
}

// unlist removes hosts from the list.
func (f *fleet) unlist(hosts ...*process) {
	for _, p := range hosts {
		f.listed[p.id] = false
	}
	f.publish()
}

// kill ends a process without notice.
func kill(f *fleet, s *schedule) {
	s.after(0, func() { f.hosts[0].alive = false })
	s.after(detectionDelay, func() { f.unlist(f.hosts[0]) })
}

// restartInPlace restarts a process so soon that the list does not change.
func restartInPlace(f *fleet, s *schedule) {
	s.after(0, func() { f.start(f.hosts[0]) })
}

// rollingRestart gracefully restarts a tenth of the hosts, one each minute.
func rollingRestart(f *fleet, s *schedule) {
	for i := range max(1, len(f.hosts)/rollingDivisor) {
		p := f.hosts[i]
		begin := time.Duration(i) * time.Minute
		s.after(begin, func() { f.unlist(p) })
		s.after(begin+restartDelay, func() {
			f.start(p)
			f.listed[p.id] = true
			f.publish()
		})
	}
}

// zoneLost ends all processes of a zone without notice.
func zoneLost(f *fleet, s *schedule) {
	zone := f.hosts[:max(1, len(f.hosts)/zones)]
	s.after(0, func() {
		for _, p := range zone {
			p.alive = false
		}
	})
	s.after(detectionDelay, func() { f.unlist(zone...) })
}

// pause suspends a process without a change of the list.
func pause(f *fleet, s *schedule) {
	s.after(0, func() { f.hosts[0].paused = true })
	s.after(pauseTime, func() { f.hosts[0].paused = false })
}

// partitionHalves partitions the fleet into two halves for an hour; both can still
// read the list.
func partitionHalves(f *fleet, s *schedule) {
	half := f.hosts[:len(f.hosts)/2]
	s.after(0, func() { f.setSide(half, 1) })
	s.after(outageTime, func() { f.setSide(half, 0) })
}

// setSide moves hosts to one side of a partition.
func (f *fleet) setSide(hosts []*process, side int) {
	for _, p := range hosts {
		p.side = side
	}
}

// makeListUnreadable makes the list unreadable for an hour.
func makeListUnreadable(f *fleet, s *schedule) {
	s.after(0, func() { f.listUnreadable = true })
	s.after(outageTime, func() { f.listUnreadable = false })
}

// revisionSkipped publishes two revisions between two reads, so that hosts see a
// gap in the revisions.
func revisionSkipped(f *fleet, s *schedule) {
	s.after(0, func() {
		f.publish()
		f.publish()
		f.revisions = append(f.revisions[:len(f.revisions)-2], f.revisions[len(f.revisions)-1])
	})
}

// Run prints one row for each fleet size, change and strategy.
func (c changes) Run() error {
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', tabwriter.AlignRight|tabwriter.Debug)
	fmt.Fprintln(out, "hosts\tchange\tstrategy\tpeak refused share\tminutes to last refusal\tfirst attempts refused in 2 h (ppm)\t")
	for _, n := range c.Hosts {
		for _, k := range changeKinds {
			for _, by := range strategies {
				r := measure(newFleet(n, c.Seed), k, by)
				fmt.Fprintf(out, "%d\t%s\t%s\t%.4f\t%.1f\t%.0f\t\n", n, k.name, by.name, r.peak, r.lastRefusal.Minutes(), r.share*partsPerMillion)
			}
		}
	}
	return out.Flush()
}

// result summarizes the first attempts after a change.
type result struct {
	share       float64       // fraction refused over measuredTime
	peak        float64       // highest fraction refused in one minute
	lastRefusal time.Duration // time from the change to the last refusal
}

// measure applies a change and samples first attempts for measuredTime.
func measure(f *fleet, k change, by strategy) result {
	s := &schedule{actions: make(map[time.Duration][]func())}
	k.plan(f, s)
	var r result
	refused, refusedInMinute := 0, 0
	for second := time.Duration(0); second < measuredTime; second += time.Second {
		for _, action := range s.actions[second] {
			action()
		}
		for range attemptsPerSecond {
			key, entry, home := f.newAttempt()
			if !by.serve(f, key, entry, home) {
				refused++
				refusedInMinute++
				r.lastRefusal = second + time.Second
			}
		}
		f.advanceSecond()
		if (second+time.Second)%time.Minute == 0 {
			r.peak = max(r.peak, float64(refusedInMinute)/(attemptsPerSecond*time.Minute.Seconds()))
			refusedInMinute = 0
		}
	}
	r.share = float64(refused) / (attemptsPerSecond * measuredTime.Seconds())
	return r
}
