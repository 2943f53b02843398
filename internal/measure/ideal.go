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

// idealMargin is how much longer steps take as they read prompts too.
const idealMargin = 1.3

const idealAhead = 64 // requests considered for their prefixes

// ideal is one scheduler for all hosts with exact and instant knowledge: of
// each engine's state, of each answer's length, without messages. It serves by
// tier, then by deadline, and refuses what can't finish in time.
type ideal struct {
	w       *world
	waiting []idealWaiter
	onWay   map[*engine]int
}

type idealWaiter struct {
	request bbtroute.Request
	host    *host
	actual  *request
}

// idealHost is a host's part of the ideal.
type idealHost struct {
	*direct
	all  *ideal
	host *host
}

func (h *idealHost) Submit(_ time.Time, r bbtroute.Request) []bbtroute.Action {
	d := idealWaiter{request: r, host: h.host, actual: h.host.requests[r.ID]}
	i, _ := slices.BinarySearchFunc(h.all.waiting, d, idealOrder)
	h.all.waiting = slices.Insert(h.all.waiting, i, d)
	h.all.w.after(0, h.all.serve)
	return nil
}

func idealOrder(a, b idealWaiter) int {
	return cmp.Or(cmp.Compare(a.request.Tier, b.request.Tier), a.request.Deadline.Compare(b.request.Deadline), cmp.Compare(a.request.ID, b.request.ID))
}

func (h *idealHost) Cancel(now time.Time, id bbtgrant.RequestID) []bbtroute.Action {
	h.all.waiting = slices.DeleteFunc(h.all.waiting, func(x idealWaiter) bool { return x.request.ID == id })
	return h.direct.Cancel(now, id)
}

func (h *idealHost) Finished(now time.Time, id bbtgrant.RequestID, o bbtroute.Outcome) []bbtroute.Action {
	h.all.w.after(0, h.all.serve)
	if f, ok := h.running[id]; ok && o.Kind == bbtgrant.Lost && f.lost < f.request.MaxRepeats {
		f.lost++
		f.request.MaxRepeats--
		delete(h.running, id)
		return h.Submit(now, f.request)
	}
	return h.direct.Finished(now, id, o)
}

func (h *idealHost) View(now time.Time, t []bbtroute.Target) []bbtroute.Action {
	h.all.w.after(0, h.all.serve)
	return h.direct.View(now, t)
}

// serve dispatches what engines can finish in time. Of the next requests of a
// tier it takes one whose prefix the engine holds.
func (d *ideal) serve() {
	d.expire()
	for room := d.withRoom(); len(room) > 0; room = d.withRoom() {
		x, e := d.pick(room)
		if e == nil {
			return
		}
		d.waiting = slices.DeleteFunc(d.waiting, func(y idealWaiter) bool { return y.request.ID == x.request.ID })
		h := x.host.policy.(*idealHost)
		h.running[x.request.ID] = flight{request: x.request, at: e.record.ID()}
		d.onWay[e]++
		d.w.after(d.w.spec.fleet.across*2, func() { d.onWay[e]-- })
		x.host.dispatch(bbtroute.Dispatch{Request: x.request.ID, Endpoint: e.record.ID()})
	}
}

// expire refuses what no engine can finish in time.
func (d *ideal) expire() {
	d.waiting = slices.DeleteFunc(d.waiting, func(x idealWaiter) bool {
		if !d.w.now.Add(fastest(x.actual)).After(x.request.Deadline) {
			return false
		}
		err := bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonDeadlineUnreachable)
		x.host.refuse(bbtroute.Refuse{Request: x.request.ID, Err: err})
		return true
	})
}

func (d *ideal) pick(room map[bbtfleet.PoolID][]*engine) (idealWaiter, *engine) {
	var first idealWaiter
	var at *engine
	ahead := 0
	for _, x := range d.waiting {
		if at != nil && (ahead > idealAhead || x.request.Tier != first.request.Tier) {
			break
		}
		ahead++
		e := d.best(room[x.request.Pool], x)
		if e != nil && slices.Contains(e.cache, x.actual.prefix) {
			return x, e
		}
		if at == nil {
			first, at = x, e
		}
	}
	return first, at
}

// free returns how many requests the engine can take.
func (d *ideal) free(e *engine) int {
	if e.dead || e.frozen || e.record.Zone() == d.w.out {
		return 0
	}
	n := len(e.batch) + len(e.queue) + d.onWay[e]
	if !e.cold {
		return e.gen.slots - n
	}
	return min(e.gen.slots, e.bears()) - n - d.onWay[e]
}

func (d *ideal) withRoom() map[bbtfleet.PoolID][]*engine {
	room := make(map[bbtfleet.PoolID][]*engine)
	for _, e := range d.w.engines {
		if d.free(e) > 0 {
			room[e.record.Pool()] = append(room[e.record.Pool()], e)
		}
	}
	return room
}

// best returns the engine that finishes the request first, and in time; nil
// if none does.
func (d *ideal) best(room []*engine, x idealWaiter) *engine {
	var best *engine
	var soonest time.Duration
	for _, e := range room {
		t := e.finishes(x.actual, len(e.batch)+len(e.queue)+d.onWay[e])
		if (best == nil || t < soonest) && !d.w.now.Add(t).After(x.request.Deadline) {
			best, soonest = e, t
		}
	}
	return best
}

// finishes returns how long the engine takes for the request when its batch
// stays as full as it is.
func (e *engine) finishes(r *request, n int) time.Duration {
	prompt := r.prompt
	if slices.Contains(e.cache, r.prefix) {
		prompt -= r.prefixTokens
	}
	step := e.gen.base + time.Duration(n+1)*e.gen.perSlot
	t := float64(prompt)/e.gen.prefill*float64(time.Second) + float64(r.output)*float64(step)*idealMargin
	return time.Duration(t * e.slow)
}

// fastest returns how long an idle, warm engine of the newer generation takes.
func fastest(r *request) time.Duration {
	g := newer
	if r.class.pool == plainPool {
		g = service
	}
	read := time.Duration(float64(r.prompt) / g.prefill * float64(time.Second))
	return read + time.Duration(r.output)*(g.base+g.perSlot)
}
