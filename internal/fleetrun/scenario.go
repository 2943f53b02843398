package main

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtowner"
)

const (
	steadyTime      = 288 * time.Second // mean interval between changes at 300 per day
	day             = 24 * time.Hour
	startSpread     = time.Second      // within which all hosts start
	listSpread      = time.Second      // within which all hosts apply a host list
	maxConvergeTime = 10 * time.Second // until all hosts have applied a change
	// Maximum of calls per second plus pending watches. A watch counts as both in the
	// second in which it starts.
	maxPlatformCalls = 2000
	maxSteadyBytes   = 4096 // bytes per second that a host may transfer in steady state
	samplePeriod     = tickInterval
	maxServeDelay    = 5 * time.Second // from a host's start until it serves
	maxUnowned       = 6 * time.Second // until other hosts hold rights to a dead host's endpoints
)

// scenario is a sequence of events with limits on the results.
type scenario struct {
	name           string
	length         time.Duration
	steady         bool          // whether maxSteadyBytes applies
	convergeWithin time.Duration // time until all hosts have applied a change; zero disables the check
	extraUnowned   time.Duration // time beyond maxUnowned that an endpoint may have no host with rights to it
	begin          func(w *world)
}

var scenarios = []scenario{
	{name: "start", length: time.Minute, extraUnowned: startSpread + maxServeDelay, begin: start},
	{name: "one-change", length: 30 * time.Second, convergeWithin: maxConvergeTime, begin: oneChange},
	{name: "steady", length: steadyTime, steady: true, convergeWithin: maxConvergeTime, begin: steady},
	{name: "zone-out", length: 30 * time.Second, convergeWithin: maxConvergeTime, begin: zoneOut},
	{name: "host-death", length: time.Minute, begin: hostDeath},
	{name: "zone-restart", length: 90 * time.Second, extraUnowned: listLag + listSpread, begin: zoneRestart},
	{name: "freeze", length: time.Minute, extraUnowned: bbtowner.YieldPeriod, begin: freeze},
	{name: "service-outage", length: 4 * time.Minute, convergeWithin: maxConvergeTime, begin: serviceOutage},
	{name: "service-restored", length: 2 * time.Minute, begin: serviceRestored},
	{name: "partition", length: 2 * time.Minute, convergeWithin: maxConvergeTime, begin: partition},
	{name: "partition-dropped", length: 2 * time.Minute, convergeWithin: maxConvergeTime, begin: partitionDropped},
}

// measure runs a scenario and returns its row of the table.
func (w *world) measure(sc scenario) string {
	w.stats = newStats(w.now)
	w.checks.longestUnowned = 0
	w.checks.falseAlarms = 0
	w.checks.maxExcess = 0
	w.checks.onDeathDetected = func(*host, bbtfleet.HostID) {}
	w.checks.onConfigurationApplied = func(*host) {}
	w.checks.onServing = func(*host) {}
	for _, h := range w.hosts {
		h.transferred = 0
		h.cpu = 0
	}
	sc.begin(w)
	w.runChecked(sc.length)
	w.checkLimits(sc)
	return w.stats.row(w, sc.name)
}

// runChecked advances the time by d and checks the rights every samplePeriod.
func (w *world) runChecked(d time.Duration) {
	for range d / samplePeriod {
		w.run(samplePeriod)
		w.checks.sample(w, samplePeriod)
		w.stats.watches = max(w.stats.watches, len(w.platform.watches))
	}
}

func (w *world) checkLimits(sc scenario) {
	s := w.stats
	for _, n := range s.calls {
		if n+s.watches > maxPlatformCalls {
			w.checks.addViolation(w, "%s: %d platform calls in one second and %d waiting watches", sc.name, n, s.watches)
		}
	}
	if limit := sc.convergeWithin.Milliseconds(); limit > 0 && (s.missing > 0 || s.durations.Max() > limit) {
		w.checks.addViolation(w, "%s: %d hosts have not applied the change, the slowest of the others took %d ms", sc.name, s.missing, s.durations.Max())
	}
	if limit := maxUnowned + sc.extraUnowned; w.checks.longestUnowned > limit {
		w.checks.addViolation(w, "%s: no host had rights to an endpoint for %v", sc.name, w.checks.longestUnowned)
	}
	if !sc.steady {
		return
	}
	for _, h := range w.hosts {
		if rate := float64(h.transferred) / w.now.Sub(s.startedAt).Seconds(); rate > maxSteadyBytes {
			w.checks.addViolation(w, "%s: %s transfers %.0f bytes per second", sc.name, h.id, rate)
		}
	}
}

// start starts all hosts within startSpread and measures the time until each
// serves.
func start(w *world) {
	w.checks.onServing = func(h *host) {
		w.stats.missing--
		w.stats.record(w.now.Sub(w.stats.startedAt))
	}
	for _, h := range w.hosts {
		w.stats.missing++
		w.schedule(time.Duration(w.rng.Int64N(int64(startSpread))), h.start)
	}
}

// measureRollout measures the time from now until each running host has applied
// the newest published configuration.
func (w *world) measureRollout() {
	startedAt, want := w.now, w.revision
	waiting := make(map[bbtfleet.HostID]bool)
	for _, h := range w.runningHosts() {
		waiting[h.id] = true
	}
	w.stats.missing = len(waiting)
	w.checks.onConfigurationApplied = func(h *host) {
		if waiting[h.id] && h.view.Version().Revision() >= want {
			delete(waiting, h.id)
			w.stats.missing--
			w.stats.record(w.now.Sub(startedAt))
		}
	}
}

// oneChange publishes a change of one contract.
func oneChange(w *world) {
	i := w.rng.IntN(len(w.contracts))
	w.contracts[i] = contract(i, int(w.revision))
	w.publish()
	w.measureRollout()
}

// steady publishes changes at the daily rate, evenly spaced.
func steady(w *world) {
	n := int(time.Duration(w.settings.Changes) * steadyTime / day)
	for i := range n {
		w.schedule(steadyTime*time.Duration(i)/time.Duration(n), func() { oneChange(w) })
	}
}

// zoneOut toggles whether an availability zone is out of service.
func zoneOut(w *world) {
	z := w.zones[0]
	w.zones[0] = bbtfleet.NewZone(z.ID(), z.Region(), !z.OutOfService())
	w.publish()
	w.measureRollout()
}

// hostDeath kills a host and measures the time until each other host detects it.
// The host list drops the host only 20 s later.
func hostDeath(w *world) {
	h := w.hosts[len(w.hosts)/2]
	startedAt := w.now
	w.checks.onDeathDetected = func(by *host, of bbtfleet.HostID) {
		if of == h.id {
			w.stats.missing--
			w.stats.record(w.now.Sub(startedAt))
		}
	}
	h.stop()
	w.stats.missing = len(w.runningHosts())
	w.schedule(20*time.Second, func() { w.setUnlisted(true, h) })
	w.schedule(30*time.Second, func() { h.start(); w.setUnlisted(false, h) })
}

// setUnlisted publishes a host list with or without the hosts.
func (w *world) setUnlisted(removed bool, hosts ...*host) {
	for _, h := range hosts {
		h.unlisted = removed
	}
	w.platform.storeHostList(w.hostList())
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

// zoneRestart stops all hosts of a zone at once, starts them 15 s to 16 s later and
// measures the time from each host's start until it serves.
func zoneRestart(w *world) {
	startedAt := make(map[*host]time.Time)
	w.checks.onServing = func(h *host) {
		w.stats.missing--
		w.stats.record(w.now.Sub(startedAt[h]))
	}
	hosts := w.zoneHosts(1 % len(w.zones))
	w.stats.missing = len(hosts)
	w.schedule(listLag, func() { w.setUnlisted(true, hosts...) })
	w.schedule(15*time.Second+listLag, func() { w.setUnlisted(false, hosts...) })
	for _, h := range hosts {
		h.stop()
		w.schedule(15*time.Second+time.Duration(w.rng.Int64N(int64(time.Second))), func() {
			startedAt[h] = w.now
			h.start()
		})
	}
}

// freeze suspends the processes of a tenth of the hosts for 2 s to 12 s each.
func freeze(w *world) {
	for _, i := range w.rng.Perm(len(w.hosts))[:max(1, len(w.hosts)/10)] {
		h := w.hosts[i]
		w.schedule(time.Duration(w.rng.Int64N(int64(10*time.Second))), func() {
			h.frozenUntil = w.now.Add(2*time.Second + time.Duration(w.rng.Int64N(int64(10*time.Second))))
		})
	}
}

// serviceOutage takes the configuration service and the host list down, stops a host
// and publishes a change during the outage, and measures the time from the service's
// return until all hosts have applied the change.
func serviceOutage(w *world) {
	w.platform.down = true
	for _, h := range w.zoneHosts(2 % len(w.zones))[:1] {
		w.schedule(time.Minute, h.stop)
	}
	w.schedule(2*time.Minute, func() {
		oneChange(w)
		w.checks.onConfigurationApplied = func(*host) {}
	})
	w.schedule(3*time.Minute, func() {
		w.platform.down = false
		w.platform.notify()
		w.measureRollout()
		h := w.zoneHosts(2 % len(w.zones))[0]
		h.start()
	})
}

// serviceRestored reverts the service to an older state, as after a restore from a
// backup, and restarts hosts meanwhile.
func serviceRestored(w *world) {
	w.platform.servingBackup = true
	hosts := w.zoneHosts(3 % len(w.zones))
	startedAt := w.now.Add(10 * time.Second)
	w.checks.onServing = func(h *host) {
		w.stats.missing--
		w.stats.record(w.now.Sub(startedAt))
	}
	w.stats.missing = len(hosts)
	for _, h := range hosts {
		w.schedule(10*time.Second, func() {
			h.stop()
			h.start()
		})
	}
	w.schedule(time.Minute, func() {
		w.platform.servingBackup = false
		w.platform.notify()
	})
}

// partition separates two zones from the other hosts and the platform, publishes a
// change, and measures the time from the end of the partition until all hosts have
// applied it.
func partition(w *world) {
	cut := make(map[bbtfleet.HostID]bool)
	for i := range min(2, len(w.zones)) {
		for _, h := range w.zoneHosts(i) {
			cut[h.id] = true
		}
	}
	previous := w.blocked
	w.blocked = func(from, to bbtfleet.HostID) bool { return cut[from] != cut[to] }
	w.schedule(30*time.Second, func() {
		oneChange(w)
		w.checks.onConfigurationApplied = func(*host) {}
	})
	w.schedule(time.Minute, func() {
		w.blocked = previous
		w.measureRemainingRollout()
	})
}

// partitionDropped is a partition in which the host list drops the separated hosts
// although they run. The remaining hosts then hold all ranks and cannot learn of
// the rights that the separated hosts keep under the old list.
func partitionDropped(w *world) {
	partition(w)
	var cut []*host
	for i := range min(2, len(w.zones)) {
		cut = append(cut, w.zoneHosts(i)...)
	}
	w.schedule(listLag, func() { w.setUnlisted(true, cut...) })
	w.schedule(time.Minute, func() { w.setUnlisted(false, cut...) })
}

// measureRemainingRollout measures the time from now until the hosts that lack the
// newest configuration have applied it.
func (w *world) measureRemainingRollout() {
	w.measureRollout()
	for _, h := range w.runningHosts() {
		if h.view.Version().Revision() >= w.revision {
			w.checks.onConfigurationApplied(h)
		}
	}
}
