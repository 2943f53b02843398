package main

import (
	"cmp"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtroute"
	"bluebelltray/core/bbtverdict"
)

// idealStepMargin is the factor on decode step times that accounts for prefill of
// other requests in the same steps.
const idealStepMargin = 1.3

const idealLookahead = 64 // waiting requests searched for a prefix cache hit

// ideal is a central scheduler for all hosts that knows each engine's state and
// each answer's length exactly and without delay. It serves requests by tier, then
// by deadline, and refuses those that cannot finish in time.
type ideal struct {
	w         *world
	waiting   []idealWaiter
	inTransit map[*engine]int
}

type idealWaiter struct {
	request bbtroute.Request
	host    *host
	actual  *request // includes the answer's length
}

// idealPolicy connects a host to the ideal scheduler.
type idealPolicy struct {
	*direct
	scheduler *ideal
	host      *host
}

func (p *idealPolicy) Submit(_ time.Time, r bbtroute.Request) []bbtroute.Action {
	waiter := idealWaiter{request: r, host: p.host, actual: p.host.requests[r.ID]}
	i, _ := slices.BinarySearchFunc(p.scheduler.waiting, waiter, idealOrder)
	p.scheduler.waiting = slices.Insert(p.scheduler.waiting, i, waiter)
	p.scheduler.w.after(0, p.scheduler.schedule)
	return nil
}

func idealOrder(a, b idealWaiter) int {
	return cmp.Or(cmp.Compare(a.request.Tier, b.request.Tier), a.request.Deadline.Compare(b.request.Deadline), cmp.Compare(a.request.ID, b.request.ID))
}

func (p *idealPolicy) Cancel(now time.Time, id bbtgrant.RequestID) []bbtroute.Action {
	p.scheduler.waiting = slices.DeleteFunc(p.scheduler.waiting, func(x idealWaiter) bool { return x.request.ID == id })
	return p.direct.Cancel(now, id)
}

func (p *idealPolicy) Finished(now time.Time, id bbtgrant.RequestID, o bbtroute.Outcome) []bbtroute.Action {
	p.scheduler.w.after(0, p.scheduler.schedule)
	if dispatched, ok := p.running[id]; ok && o.Kind == bbtgrant.Lost && dispatched.losses < dispatched.request.MaxRepeats {
		dispatched.losses++
		dispatched.request.MaxRepeats--
		delete(p.running, id)
		return p.Submit(now, dispatched.request)
	}
	return p.direct.Finished(now, id, o)
}

func (p *idealPolicy) SetTargets(now time.Time, t []bbtroute.Target) []bbtroute.Action {
	p.scheduler.w.after(0, p.scheduler.schedule)
	return p.direct.SetTargets(now, t)
}

// schedule dispatches requests that engines can finish in time. Among the next
// requests of a tier it prefers one whose prefix an engine has cached.
func (s *ideal) schedule() {
	s.refuseLate()
	for free := s.enginesWithFreeSlots(); len(free) > 0; free = s.enginesWithFreeSlots() {
		x, e := s.pick(free)
		if e == nil {
			return
		}
		s.waiting = slices.DeleteFunc(s.waiting, func(y idealWaiter) bool { return y.request.ID == x.request.ID })
		p := x.host.policy.(*idealPolicy)
		p.running[x.request.ID] = dispatchedRequest{request: x.request, endpoint: e.record.ID()}
		s.inTransit[e]++
		s.w.after(s.w.spec.fleet.interZoneLatency*2, func() { s.inTransit[e]-- })
		x.host.dispatch(bbtroute.Dispatch{Request: x.request.ID, Endpoint: e.record.ID()})
	}
}

// refuseLate refuses requests that no engine can finish in time.
func (s *ideal) refuseLate() {
	s.waiting = slices.DeleteFunc(s.waiting, func(x idealWaiter) bool {
		if !s.w.now.Add(minServiceTime(x.actual)).After(x.request.Deadline) {
			return false
		}
		err := bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonDeadlineUnreachable)
		x.host.refuse(bbtroute.Refuse{Request: x.request.ID, Err: err})
		return true
	})
}

// pick returns the next request to dispatch and its engine; the engine is nil if
// none can finish a request in time.
func (s *ideal) pick(free map[bbtfleet.PoolID][]*engine) (idealWaiter, *engine) {
	var first idealWaiter
	var firstEngine *engine
	searched := 0
	for _, x := range s.waiting {
		if firstEngine != nil && (searched > idealLookahead || x.request.Tier != first.request.Tier) {
			break
		}
		searched++
		e := s.best(free[x.request.Pool], x)
		if e != nil && slices.Contains(e.prefixCache, x.actual.prefix) {
			return x, e
		}
		if firstEngine == nil {
			first, firstEngine = x, e
		}
	}
	return first, firstEngine
}

// freeSlots returns how many more requests the engine can take.
func (s *ideal) freeSlots(e *engine) int {
	if e.dead || e.frozen || e.record.Zone() == s.w.zoneOut {
		return 0
	}
	n := len(e.batch) + len(e.queue) + s.inTransit[e]
	if !e.cold {
		return e.gen.slots - n
	}
	return min(e.gen.slots, e.capacity()) - n - s.inTransit[e]
}

func (s *ideal) enginesWithFreeSlots() map[bbtfleet.PoolID][]*engine {
	free := make(map[bbtfleet.PoolID][]*engine)
	for _, e := range s.w.engines {
		if s.freeSlots(e) > 0 {
			free[e.record.Pool()] = append(free[e.record.Pool()], e)
		}
	}
	return free
}

// best returns the engine with a free slot that finishes the request first, or nil if
// none meets its deadline.
func (s *ideal) best(free []*engine, x idealWaiter) *engine {
	var best *engine
	var soonest time.Duration
	for _, e := range free {
		t := e.serviceTime(x.actual, len(e.batch)+len(e.queue)+s.inTransit[e])
		if (best == nil || t < soonest) && !s.w.now.Add(t).After(x.request.Deadline) {
			best, soonest = e, t
		}
	}
	return best
}

// serviceTime returns how long the engine takes for the request beside n others.
func (e *engine) serviceTime(r *request, n int) time.Duration {
	prompt := r.prompt
	if slices.Contains(e.prefixCache, r.prefix) {
		prompt -= r.prefixTokens
	}
	step := e.gen.base + time.Duration(n+1)*e.gen.perSlot
	t := float64(prompt)/e.gen.prefillRate*float64(time.Second) + float64(r.output)*float64(step)*idealStepMargin
	return time.Duration(t * e.slowdown)
}

// minServiceTime returns how long an idle, warm endpoint takes without a cached
// prefix; a model engine is assumed to be of the newer generation.
func minServiceTime(r *request) time.Duration {
	g := newerGeneration
	if r.class.pool == plainPool {
		g = serviceGeneration
	}
	prefill := time.Duration(float64(r.prompt) / g.prefillRate * float64(time.Second))
	return prefill + time.Duration(r.output)*(g.base+g.perSlot)
}
