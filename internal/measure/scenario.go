package main

import (
	"math/rand/v2"
	"time"
)

const (
	warmTime   = 15 * time.Second // load before requests are scored
	runTime    = 60 * time.Second
	sliceTime  = 30 * time.Second
	afterTime  = 90 * time.Second // the load goes on while scored requests end
	normalLag  = 2 * time.Second  // of load reports
	staleLag   = 10 * time.Second // of load reports, when they are stale
	poisonous  = 3                // requests that crash engines
	poisonTry  = 4                // how often their callers resend
	slowFactor = 3.0
	hotPrefix  = 1
)

// scenario is a load and the faults that come with it.
type scenario struct {
	name   string
	fleet  fleet
	load   float64 // offered, as a share of capacity
	peak   float64 // offered between from and to; zero for none
	length time.Duration
	lag    time.Duration // of load reports
	hot    float64       // share of the requests that have one prefix in common
	faults func(w *world)
}

// The times, while requests are scored, between which a fault or a burst lasts.
const (
	from = 20 * time.Second
	to   = 35 * time.Second
)

var scenarios = []scenario{
	{name: "steady", fleet: ciocche, load: 0.7},
	{name: "overload", fleet: ciocche, load: 2},
	{name: "burst", fleet: ciocche, load: 0.6, peak: 3},
	{name: "slow-engines", fleet: ciocche, load: 0.7, faults: slowEngines},
	{name: "cold", fleet: ciocche, load: 0.7, faults: turnCold},
	{name: "engine-dies", fleet: ciocche, load: 0.7, faults: dieAndFreeze},
	{name: "zone", fleet: clyde, load: 0.6, faults: zoneLeaves},
	{name: "host-killed", fleet: ciocche, load: 0.8, faults: killHost},
	{name: "partition", fleet: ciocche, load: 0.8, faults: partition},
	{name: "stale", fleet: ciocche, load: 1.2, lag: staleLag},
	{name: "crashing", fleet: ciocche, load: 0.6, faults: crashing},
	{name: "hot-prefix", fleet: ciocche, load: 0.8, hot: 0.5},
	{name: "ciocche", fleet: ciocche, load: 0.9},
	{name: "clyde", fleet: clyde, load: 0.9},
	{name: "slice", fleet: slice, load: 0.9, length: sliceTime},
	{name: "slice-overload", fleet: slice, load: 2, length: sliceTime},
}

func slowEngines(w *world) {
	w.between(func() { w.setSpeed(slowFactor) }, func() { w.setSpeed(1) })
}

// setSpeed slows the first half of the model engines.
func (w *world) setSpeed(factor float64) {
	for _, e := range w.engines[:w.spec.fleet.engines/2] {
		e.slow = factor
	}
}

func turnCold(w *world) {
	w.between(w.engines[0].turnCold, func() {
		w.engines[1].turnCold()
		w.engines[2].die()
	})
}

func dieAndFreeze(w *world) {
	w.between(func() {
		w.engines[0].die()
		w.engines[3].freeze()
	}, w.engines[3].thaw)
}

// zoneLeaves takes a zone out; its engines are restarted before it returns.
func zoneLeaves(w *world) {
	zone := w.spec.fleet.zones[0]
	w.between(func() {
		w.out = zone
		w.learn(func(*host) {})
	}, func() {
		for _, e := range w.engines {
			if e.record.Zone() == zone {
				e.incarnation++
				e.turnCold()
				e.coldSilent, e.served = false, 0
			}
		}
		w.out = ""
		w.learn(func(*host) {})
	})
}

func killHost(w *world) {
	w.between(func() { w.kill(w.hosts[0]) }, func() {
		w.join(len(w.hosts)).look()
		w.learn(func(*host) {})
	})
}

func partition(w *world) {
	w.between(func() {
		w.split()
		w.after(from/4, w.engines[0].die)
	}, w.heal)
}

// crashing sends requests that kill the engine they run on, and that their
// callers send again through other hosts.
func crashing(w *world) {
	w.between(func() {
		for range poisonous {
			r := w.draw(classes[2])
			r.poison, r.repeats = true, 0
			w.arrive(r)
		}
	}, func() {})
}

// between schedules the start and the end of a fault.
func (w *world) between(start, end func()) {
	w.after(warmTime+from, start)
	w.after(warmTime+to, end)
}

// draw makes a request of the class that arrives now.
func (w *world) draw(k class) *request {
	r := k.draw(w.traffic)
	if w.spec.hot > 0 && w.traffic.Float64() < w.spec.hot {
		r.prefix = hotPrefix
	}
	w.drawn++
	r.id = w.drawn
	r.arrived, r.deadline = w.now, w.now.Add(k.deadline)
	if k.pool == modelPool {
		r.repeats = 1
	}
	w.score.offered(r)
	return r
}

// offer lets requests arrive at random times.
func (w *world) offer(rate func() float64, next func() class) {
	wait := time.Duration(w.traffic.ExpFloat64() / rate() * float64(time.Second))
	w.after(wait, func() {
		w.arrive(w.draw(next()))
		w.offer(rate, next)
	})
}

// run plays a scenario under a policy and returns the world at its end.
func (s scenario) run(p policy, seed uint64) *world {
	if s.length == 0 {
		s.length = runTime
	}
	if s.lag == 0 {
		s.lag = normalLag
	}
	w := newWorld(s, p, seed)
	w.traffic = rand.New(rand.NewPCG(seed, 0))
	capacity := s.fleet.capacity(rand.New(rand.NewPCG(0, 0)))
	w.scoredFrom = w.now.Add(warmTime)
	w.scored = w.scoredFrom.Add(s.length)
	rate := func() float64 {
		t := w.now.Sub(w.scoredFrom)
		if s.peak > 0 && t >= from && t < to {
			return s.peak * capacity
		}
		return s.load * capacity
	}
	if s.faults != nil {
		s.faults(w)
	}
	w.offer(rate, func() class { return drawClass(w.traffic) })
	if s.fleet.plain > 0 {
		w.offer(func() float64 { return couriersRate }, func() class { return couriers })
	}
	w.runUntil(w.scored.Add(afterTime))
	return w
}
