package main

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtowner"
)

const (
	steadyTime    = 288 * time.Second // in which one of 300 changes a day falls
	day           = 24 * time.Hour
	startSpread   = time.Second      // within which all hosts start
	listSpread    = time.Second      // within which a host list is in force everywhere
	convergeLimit = 10 * time.Second // within which a change is in force everywhere
	readLimit     = 2000             // calls a second that the platform bears
	byteLimit     = 4096             // bytes a second that a daemon spends in a steady state
	samplePeriod  = tickInterval
	serveLimit    = 5 * time.Second // within which a host that starts serves
	idleLimit     = 6 * time.Second // within which a dead host's endpoints are in use again
)

// scenario is a course of events with its length.
type scenario struct {
	name   string
	length time.Duration
	steady bool          // whether byteLimit applies
	within time.Duration // of a change everywhere, not checked if zero
	idle   time.Duration // of an endpoint that no host has a right to, beside idleLimit
	begin  func(w *world)
}

var scenarios = []scenario{
	{name: "start", length: time.Minute, idle: startSpread + serveLimit, begin: start},
	{name: "one-change", length: 30 * time.Second, within: convergeLimit, begin: oneChange},
	{name: "steady", length: steadyTime, steady: true, within: convergeLimit, begin: steady},
	{name: "zone-out", length: 30 * time.Second, within: convergeLimit, begin: zoneOut},
	{name: "host-death", length: time.Minute, begin: hostDeath},
	{name: "zone-restart", length: 90 * time.Second, idle: listLag + listSpread, begin: zoneRestart},
	{name: "freeze", length: time.Minute, idle: bbtowner.YieldPeriod, begin: freeze},
	{name: "service-outage", length: 4 * time.Minute, within: convergeLimit, begin: outage},
	{name: "service-restored", length: 2 * time.Minute, begin: restored},
	{name: "partition", length: 2 * time.Minute, within: convergeLimit, begin: partition},
	{name: "partition-dropped", length: 2 * time.Minute, within: convergeLimit, begin: partitionDropped},
}

// measure runs a scenario and returns its row.
func (w *world) measure(sc scenario) string {
	w.stats = newStats(w.now)
	w.checks.longest = 0
	w.checks.falseAlarms = 0
	w.checks.over = 0
	w.checks.detected = func(*host, bbtfleet.HostID) {}
	w.checks.arrived = func(*host) {}
	w.checks.serving = func(*host) {}
	for _, h := range w.hosts {
		h.bytes = 0
		h.cpu = 0
	}
	sc.begin(w)
	w.watch(sc.length)
	w.bound(sc)
	return w.stats.row(w, sc.name)
}

// watch advances the time by d and checks the rights at every tick.
func (w *world) watch(d time.Duration) {
	for range d / samplePeriod {
		w.run(samplePeriod)
		w.checks.sample(w, samplePeriod)
		w.stats.watches = max(w.stats.watches, len(w.platform.watches))
	}
}

// bound checks the scenario's limits.
func (w *world) bound(sc scenario) {
	s := w.stats
	for _, n := range s.reads {
		if n+s.watches > readLimit {
			w.checks.violate(w, "%s: %d reads and %d waiting watches in a second", sc.name, n, s.watches)
		}
	}
	if limit := sc.within.Milliseconds(); limit > 0 && (s.missing > 0 || s.times.Max() > limit) {
		w.checks.violate(w, "%s: %d hosts missing, the last after %d ms", sc.name, s.missing, s.times.Max())
	}
	if limit := idleLimit + sc.idle; w.checks.longest > limit {
		w.checks.violate(w, "%s: an endpoint without rights for %v", sc.name, w.checks.longest)
	}
	if !sc.steady {
		return
	}
	for _, h := range w.hosts {
		if rate := float64(h.bytes) / w.now.Sub(s.begun).Seconds(); rate > byteLimit {
			w.checks.violate(w, "%s: %s spends %.0f bytes a second", sc.name, h.id, rate)
		}
	}
}

// start starts all hosts within a second and measures the time until each
// serves.
func start(w *world) {
	w.checks.serving = func(h *host) {
		w.stats.missing--
		w.stats.record(w.now.Sub(w.stats.begun))
	}
	for _, h := range w.hosts {
		w.stats.missing++
		w.at(time.Duration(w.rng.Int64N(int64(startSpread))), h.start)
	}
}

// follow measures the time from now until each running host has the newest
// published configuration in force.
func (w *world) follow() {
	begun, want := w.now, w.revision
	waiting := make(map[bbtfleet.HostID]bool)
	for _, h := range w.up() {
		waiting[h.id] = true
	}
	w.stats.missing = len(waiting)
	w.checks.arrived = func(h *host) {
		if waiting[h.id] && h.keeper.Version().Revision() >= want {
			delete(waiting, h.id)
			w.stats.missing--
			w.stats.record(w.now.Sub(begun))
		}
	}
}

// oneChange publishes a change of one contract.
func oneChange(w *world) {
	i := w.rng.IntN(len(w.contracts))
	w.contracts[i] = contract(i, int(w.revision))
	w.publish()
	w.follow()
}

// steady publishes as many changes as a day brings, evenly spaced.
func steady(w *world) {
	n := int(time.Duration(w.settings.Changes) * steadyTime / day)
	for i := range n {
		w.at(steadyTime*time.Duration(i)/time.Duration(n), func() { oneChange(w) })
	}
}

// zoneOut takes an availability zone out.
func zoneOut(w *world) {
	z := w.zones[0]
	w.zones[0] = bbtfleet.NewZone(z.ID(), z.Region(), !z.OutOfService())
	w.publish()
	w.follow()
}

// hostDeath kills a host, which the host list shows late, and measures the time
// until each other host knows of it.
func hostDeath(w *world) {
	h := w.hosts[len(w.hosts)/2]
	begun := w.now
	w.checks.detected = func(by *host, of bbtfleet.HostID) {
		if of == h.id {
			w.stats.missing--
			w.stats.record(w.now.Sub(begun))
		}
	}
	h.stop()
	w.stats.missing = len(w.up())
	w.at(20*time.Second, func() { w.relist(true, h) })
	w.at(30*time.Second, func() { h.start(); w.relist(false, h) })
}

// relist publishes a host list with or without the hosts.
func (w *world) relist(gone bool, hosts ...*host) {
	for _, h := range hosts {
		h.unlisted = gone
	}
	w.platform.list(w.hostList())
}

// zoneHosts returns the hosts of the i-th zone.
func (w *world) zoneHosts(i int) []*host {
	var out []*host
	for _, h := range w.hosts {
		if h.zone == w.zones[i].ID() {
			out = append(out, h)
		}
	}
	return out
}

// zoneRestart restarts all hosts of a zone at once and measures the time from
// each host's start until it serves.
func zoneRestart(w *world) {
	begun := make(map[*host]time.Time)
	w.checks.serving = func(h *host) {
		w.stats.missing--
		w.stats.record(w.now.Sub(begun[h]))
	}
	hosts := w.zoneHosts(1 % len(w.zones))
	w.stats.missing = len(hosts)
	w.at(listLag, func() { w.relist(true, hosts...) })
	w.at(15*time.Second+listLag, func() { w.relist(false, hosts...) })
	for _, h := range hosts {
		h.stop()
		w.at(15*time.Second+time.Duration(w.rng.Int64N(int64(time.Second))), func() {
			begun[h] = w.now
			h.start()
		})
	}
}

// freeze stops the processes of a tenth of the hosts for some seconds each.
func freeze(w *world) {
	for _, i := range w.rng.Perm(len(w.hosts))[:max(1, len(w.hosts)/10)] {
		h := w.hosts[i]
		w.at(time.Duration(w.rng.Int64N(int64(10*time.Second))), func() {
			h.frozen = w.now.Add(2*time.Second + time.Duration(w.rng.Int64N(int64(10*time.Second))))
		})
	}
}

// outage takes the configuration service and the host list down, restarts hosts
// meanwhile, publishes a change, and measures the time from the service's
// return until the change is in force.
func outage(w *world) {
	w.platform.down = true
	for _, h := range w.zoneHosts(2 % len(w.zones))[:1] {
		w.at(time.Minute, h.stop)
	}
	w.at(2*time.Minute, func() {
		oneChange(w)
		w.checks.arrived = func(*host) {}
	})
	w.at(3*time.Minute, func() {
		w.platform.down = false
		w.platform.notify()
		w.follow()
		h := w.zoneHosts(2 % len(w.zones))[0]
		h.start()
	})
}

// restored puts an older state in place of the service's and restarts hosts
// under it.
func restored(w *world) {
	w.platform.restored = true
	hosts := w.zoneHosts(3 % len(w.zones))
	begun := w.now.Add(10 * time.Second)
	w.checks.serving = func(h *host) {
		w.stats.missing--
		w.stats.record(w.now.Sub(begun))
	}
	w.stats.missing = len(hosts)
	for _, h := range hosts {
		w.at(10*time.Second, func() {
			h.stop()
			h.start()
		})
	}
	w.at(time.Minute, func() {
		w.platform.restored = false
		w.platform.notify()
	})
}

// partition cuts two zones and the platform's view of them off the rest,
// publishes a change, and measures the time from the healing until it is in
// force.
func partition(w *world) {
	cut := make(map[bbtfleet.HostID]bool)
	for i := range min(2, len(w.zones)) {
		for _, h := range w.zoneHosts(i) {
			cut[h.id] = true
		}
	}
	whole := w.severed
	w.severed = func(from, to bbtfleet.HostID) bool { return cut[from] != cut[to] }
	w.at(30*time.Second, func() {
		oneChange(w)
		w.checks.arrived = func(*host) {}
	})
	w.at(time.Minute, func() {
		w.severed = whole
		w.followRest()
	})
}

// partitionDropped is a partition in which the host list drops the hosts that
// are cut off, though they run. Either side then has all ranks on its own, and
// nothing that it can know tells it of the other.
func partitionDropped(w *world) {
	partition(w)
	var cut []*host
	for i := range min(2, len(w.zones)) {
		cut = append(cut, w.zoneHosts(i)...)
	}
	w.at(listLag, func() { w.relist(true, cut...) })
	w.at(time.Minute, func() { w.relist(false, cut...) })
}

// followRest measures the time from now until the hosts that lack the newest
// configuration have it in force.
func (w *world) followRest() {
	w.follow()
	for _, h := range w.up() {
		if h.keeper.Version().Revision() >= w.revision {
			w.checks.arrived(h)
		}
	}
}
