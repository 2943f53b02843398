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
	actual  *request
}

// idealPolicy connects a host to the ideal scheduler.
type idealPolicy struct {
	*direct
	scheduler *ideal
	host      *host
}

func (h *idealPolicy) Submit(_ time.Time, r bbtroute.Request) []bbtroute.Action {
	waiter := idealWaiter{request: r, host: h.host, actual: h.host.requests[r.ID]}
	i, _ := slices.BinarySearchFunc(h.scheduler.waiting, waiter, idealOrder)
	h.scheduler.waiting = slices.Insert(h.scheduler.waiting, i, waiter)
	h.scheduler.w.after(0, h.scheduler.schedule)
	return nil
}

func idealOrder(a, b idealWaiter) int {
	return cmp.Or(cmp.Compare(a.request.Tier, b.request.Tier), a.request.Deadline.Compare(b.request.Deadline), cmp.Compare(a.request.ID, b.request.ID))
}

func (h *idealPolicy) Cancel(now time.Time, id bbtgrant.RequestID) []bbtroute.Action {
	h.scheduler.waiting = slices.DeleteFunc(h.scheduler.waiting, func(x idealWaiter) bool { return x.request.ID == id })
	return h.direct.Cancel(now, id)
}

func (h *idealPolicy) Finished(now time.Time, id bbtgrant.RequestID, o bbtroute.Outcome) []bbtroute.Action {
	h.scheduler.w.after(0, h.scheduler.schedule)
	if f, ok := h.running[id]; ok && o.Kind == bbtgrant.Lost && f.losses < f.request.MaxRepeats {
		f.losses++
		f.request.MaxRepeats--
		delete(h.running, id)
		return h.Submit(now, f.request)
	}
	return h.direct.Finished(now, id, o)
}

func (h *idealPolicy) View(now time.Time, t []bbtroute.Target) []bbtroute.Action {
	h.scheduler.w.after(0, h.scheduler.schedule)
	return h.direct.View(now, t)
}

// schedule dispatches requests that engines can finish in time. Among the next
// requests of a tier it prefers one whose prefix an engine has cached.
func (d *ideal) schedule() {
	d.refuseLate()
	for room := d.enginesWithRoom(); len(room) > 0; room = d.enginesWithRoom() {
		x, e := d.pick(room)
		if e == nil {
			return
		}
		d.waiting = slices.DeleteFunc(d.waiting, func(y idealWaiter) bool { return y.request.ID == x.request.ID })
		h := x.host.policy.(*idealPolicy)
		h.running[x.request.ID] = dispatchedRequest{request: x.request, endpoint: e.record.ID()}
		d.inTransit[e]++
		d.w.after(d.w.spec.fleet.interZoneLatency*2, func() { d.inTransit[e]-- })
		x.host.dispatch(bbtroute.Dispatch{Request: x.request.ID, Endpoint: e.record.ID()})
	}
}

// refuseLate refuses requests that no engine can finish in time.
func (d *ideal) refuseLate() {
	d.waiting = slices.DeleteFunc(d.waiting, func(x idealWaiter) bool {
		if !d.w.now.Add(minServiceTime(x.actual)).After(x.request.Deadline) {
			return false
		}
		err := bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonDeadlineUnreachable)
		x.host.refuse(bbtroute.Refuse{Request: x.request.ID, Err: err})
		return true
	})
}

// pick returns the next request to dispatch and its engine; the engine is nil if
// none can finish a request in time.
func (d *ideal) pick(room map[bbtfleet.PoolID][]*engine) (idealWaiter, *engine) {
	var first idealWaiter
	var at *engine
	ahead := 0
	for _, x := range d.waiting {
		if at != nil && (ahead > idealLookahead || x.request.Tier != first.request.Tier) {
			break
		}
		ahead++
		e := d.best(room[x.request.Pool], x)
		if e != nil && slices.Contains(e.prefixCache, x.actual.prefix) {
			return x, e
		}
		if at == nil {
			first, at = x, e
		}
	}
	return first, at
}

// freeSlots returns how many more requests the engine can take.
func (d *ideal) freeSlots(e *engine) int {
	if e.dead || e.frozen || e.record.Zone() == d.w.zoneOut {
		return 0
	}
	n := len(e.batch) + len(e.queue) + d.inTransit[e]
	if !e.cold {
		return e.gen.slots - n
	}
	return min(e.gen.slots, e.capacity()) - n - d.inTransit[e]
}

func (d *ideal) enginesWithRoom() map[bbtfleet.PoolID][]*engine {
	room := make(map[bbtfleet.PoolID][]*engine)
	for _, e := range d.w.engines {
		if d.freeSlots(e) > 0 {
			room[e.record.Pool()] = append(room[e.record.Pool()], e)
		}
	}
	return room
}

// best returns the engine that finishes the request first, or nil if none meets
// its deadline.
func (d *ideal) best(room []*engine, x idealWaiter) *engine {
	var best *engine
	var soonest time.Duration
	for _, e := range room {
		t := e.serviceTime(x.actual, len(e.batch)+len(e.queue)+d.inTransit[e])
		if (best == nil || t < soonest) && !d.w.now.Add(t).After(x.request.Deadline) {
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

// minServiceTime returns how long an idle, warm engine of the newer generation
// takes.
func minServiceTime(r *request) time.Duration {
	g := newerGeneration
	if r.class.pool == plainPool {
		g = serviceGeneration
	}
	read := time.Duration(float64(r.prompt) / g.prefillRate * float64(time.Second))
	return read + time.Duration(r.output)*(g.base+g.perSlot)
}
