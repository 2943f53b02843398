package main

import (
	"math/rand/v2"
	"time"
)

const (
	warmupTime            = 15 * time.Second // load before scoring starts
	scoredTime            = 60 * time.Second
	singleModelScoredTime = 30 * time.Second // scored time of the slice scenarios
	trailingLoadTime      = 90 * time.Second // load continues while scored requests finish
	defaultReportLag      = 2 * time.Second
	staleReportLag        = 10 * time.Second
	poisonRequests        = 3 // number of requests that crash their engine
	poisonAttempts        = 4 // attempts that their callers make
	slowFactor            = 3.0
	hotPrefix             = 1
)

// scenario is an offered load with faults.
type scenario struct {
	name      string
	fleet     fleet
	load      float64       // offered load as a fraction of capacity
	peak      float64       // offered load from faultStart to faultEnd; zero for no burst
	length    time.Duration // scored time; zero for scoredTime
	reportLag time.Duration
	hotShare  float64 // fraction of requests with the common prefix hotPrefix
	faults    func(w *world)
}

// The period of a fault or burst, relative to the start of scoring.
const (
	faultStart = 20 * time.Second
	faultEnd   = 35 * time.Second
)

var scenarios = []scenario{
	{name: "steady", fleet: ciocche, load: 0.7},
	{name: "overload", fleet: ciocche, load: 2},
	{name: "burst", fleet: ciocche, load: 0.6, peak: 3},
	{name: "slow-engines", fleet: ciocche, load: 0.7, faults: slowEngines},
	{name: "cold", fleet: ciocche, load: 0.7, faults: coldStarts},
	{name: "engine-dies", fleet: ciocche, load: 0.7, faults: crashAndFreeze},
	{name: "zone", fleet: clyde, load: 0.6, faults: zoneOutage},
	{name: "host-killed", fleet: ciocche, load: 0.8, faults: killHost},
	{name: "partition", fleet: ciocche, load: 0.8, faults: partition},
	{name: "stale", fleet: ciocche, load: 1.2, reportLag: staleReportLag},
	{name: "crashing", fleet: ciocche, load: 0.6, faults: submitPoisonRequests},
	{name: "hot-prefix", fleet: ciocche, load: 0.8, hotShare: 0.5},
	{name: "ciocche", fleet: ciocche, load: 0.9},
	{name: "clyde", fleet: clyde, load: 0.9},
	{name: "slice", fleet: singleModelFleet, load: 0.9, length: singleModelScoredTime},
	{name: "slice-overload", fleet: singleModelFleet, load: 2, length: singleModelScoredTime},
}

func slowEngines(w *world) {
	w.scheduleFault(func() { w.setSlowdown(slowFactor) }, func() { w.setSlowdown(1) })
}

// setSlowdown sets the factor on step times for the first half of the model engines.
func (w *world) setSlowdown(factor float64) {
	for _, e := range w.engines[:w.spec.fleet.engines/2] {
		e.slowdown = factor
	}
}

// coldStarts turns one engine cold unannounced at faultStart. At faultEnd it turns a
// second one cold and crashes a third.
func coldStarts(w *world) {
	w.scheduleFault(w.engines[0].turnCold, func() {
		w.engines[1].turnCold()
		w.engines[2].crash()
	})
}

func crashAndFreeze(w *world) {
	w.scheduleFault(func() {
		w.engines[0].crash()
		w.engines[3].freeze()
	}, w.engines[3].unfreeze)
}

// zoneOutage takes a zone out of service. Its engines have restarted cold when it is
// back in service.
func zoneOutage(w *world) {
	zone := w.spec.fleet.zones[0]
	w.scheduleFault(func() {
		w.zoneOut = zone
		w.notifyHosts(func(*host) {})
	}, func() {
		for _, e := range w.engines {
			if e.record.Zone() == zone {
				e.incarnation++
				e.turnCold()
				e.coldUnannounced, e.served = false, 0
			}
		}
		w.zoneOut = ""
		w.notifyHosts(func(*host) {})
	})
}

func killHost(w *world) {
	w.scheduleFault(func() { w.kill(w.hosts[0]) }, func() {
		w.join(len(w.hosts)).updateView()
		w.notifyHosts(func(*host) {})
	})
}

// partition partitions the network. An engine crashes during the partition, after a
// delay of faultStart/4.
func partition(w *world) {
	w.scheduleFault(func() {
		w.split()
		w.after(faultStart/4, w.engines[0].crash)
	}, w.heal)
}

// submitPoisonRequests submits requests that crash the engine they run on. Their
// callers resend them through random hosts after a may-have-run refusal.
func submitPoisonRequests(w *world) {
	w.scheduleFault(func() {
		for range poisonRequests {
			r := w.draw(classes[2])
			r.poison, r.maxRepeats = true, 0
			w.submitToRandomHost(r)
		}
	}, func() {})
}

// scheduleFault schedules the start and the end of a fault.
func (w *world) scheduleFault(start, end func()) {
	w.after(warmupTime+faultStart, start)
	w.after(warmupTime+faultEnd, end)
}

// draw returns a random request of the class that arrives now.
func (w *world) draw(c class) *request {
	r := c.draw(w.traffic)
	if w.spec.hotShare > 0 && w.traffic.Float64() < w.spec.hotShare {
		r.prefix = hotPrefix
	}
	w.requestCount++
	r.id = w.requestCount
	r.arrived, r.deadline = w.now, w.now.Add(c.deadline)
	if c.pool == modelPool {
		r.maxRepeats = 1
	}
	w.score.offered(r)
	return r
}

// generateLoad submits requests as a Poisson process.
func (w *world) generateLoad(rate func() float64, next func() class) {
	wait := time.Duration(w.traffic.ExpFloat64() / rate() * float64(time.Second))
	w.after(wait, func() {
		w.submitToRandomHost(w.draw(next()))
		w.generateLoad(rate, next)
	})
}

// run simulates the scenario under a policy and returns the world at its end.
func (s scenario) run(p policy, seed uint64) *world {
	if s.length == 0 {
		s.length = scoredTime
	}
	if s.reportLag == 0 {
		s.reportLag = defaultReportLag
	}
	w := newWorld(s, p, seed)
	w.traffic = rand.New(rand.NewPCG(seed, 0))
	capacity := s.fleet.capacity(rand.New(rand.NewPCG(0, 0)))
	w.scoredFrom = w.now.Add(warmupTime)
	w.scoredUntil = w.scoredFrom.Add(s.length)
	rate := func() float64 {
		t := w.now.Sub(w.scoredFrom)
		if s.peak > 0 && t >= faultStart && t < faultEnd {
			return s.peak * capacity
		}
		return s.load * capacity
	}
	if s.faults != nil {
		s.faults(w)
	}
	w.generateLoad(rate, func() class { return drawClass(w.traffic) })
	if s.fleet.plainServices > 0 {
		w.generateLoad(func() float64 { return couriersPerSecond }, func() class { return couriers })
	}
	w.runUntil(w.scoredUntil.Add(trailingLoadTime))
	return w
}
