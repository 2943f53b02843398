package bbtschedule

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtfleet"
)

const (
	assumedHold  = 1000 // ms that a request takes its slot
	assumedUse   = 0.6  // part of the output tokens asked for that a stream has
	stallPart    = 0.8  // of the pause that is on time, for reading prompts beside a stream
	rateWindow   = time.Second
	lateWait     = 1.0 // objectives that a late request waits at most
	neverLess    = 200 * time.Millisecond
	answerMargin = 1.25 // factor on a forecast that has to keep an objective
)

// service is the waiting requests and the endpoints of one service.
type service struct {
	record    *bbtcatalog.Service
	endpoints []*endpoint // sorted by ID
	waiting   []*waiter   // in the order in which they go
	grants    []time.Time // of the last rateWindow
	read      estimate    // ms for a prompt token, over all endpoints
	gap       estimate    // ms between events
	answer    estimate    // ms of a plain call
	use       estimate    // part of the output tokens asked for that a stream has
	hold      estimate    // ms that a request takes its slot
}

// newService returns a service without endpoints.
func newService(record *bbtcatalog.Service) *service { return &service{record: record} }

// add puts an endpoint in.
func (sv *service) add(e *endpoint) {
	sv.endpoints = append(sv.endpoints, e)
	slices.SortFunc(sv.endpoints, func(a, b *endpoint) int { return cmp.Compare(a.record.ID, b.record.ID) })
}

// remove takes an endpoint out.
func (sv *service) remove(e *endpoint) {
	sv.endpoints = slices.DeleteFunc(sv.endpoints, func(o *endpoint) bool { return o == e })
}

// push puts a request into the waiting room.
func (sv *service) push(w *waiter) {
	i := sort.Search(len(sv.waiting), func(i int) bool { return w.before(sv.waiting[i]) })
	sv.waiting = slices.Insert(sv.waiting, i, w)
}

// drop takes a request out of the waiting room.
func (sv *service) drop(w *waiter) {
	w.done = true
	sv.waiting = slices.DeleteFunc(sv.waiting, func(o *waiter) bool { return o == w })
}

// find returns the waiter of a key, nil if there is none.
func (sv *service) find(k key) *waiter {
	for _, w := range sv.waiting {
		if w.key == k {
			return w
		}
	}
	return nil
}

// of returns the waiters of a host.
func (sv *service) of(host bbtfleet.HostID) []*waiter {
	var out []*waiter
	for _, w := range sv.waiting {
		if w.key.host == host {
			out = append(out, w)
		}
	}
	return out
}

// granted counts a permit.
func (sv *service) granted(now time.Time) {
	sv.grants = append(sv.grants, now)
	sv.trim(now)
}

// trim forgets permits of before the rate window.
func (sv *service) trim(now time.Time) {
	i := sort.Search(len(sv.grants), func(i int) bool { return now.Sub(sv.grants[i]) < rateWindow })
	sv.grants = sv.grants[i:]
}

// perSecond returns how many permits the service gives in a second at present,
// or could give if that is more.
func (sv *service) perSecond(now time.Time) float64 {
	sv.trim(now)
	slots := 0
	for _, e := range sv.endpoints {
		if e.open(now) {
			slots += e.slots(1)
		}
	}
	could := float64(slots) * 1000 / sv.hold.or(assumedHold)
	return max(1, could, float64(len(sv.grants))/rateWindow.Seconds())
}

// choose returns the endpoint on which the request is done first among those
// that keep its objective, or, once none can keep it, among all with room. It
// returns nil if the request has to wait.
func (sv *service) choose(now time.Time, w *waiter, share float64) *endpoint {
	var kept, late *endpoint
	var keptWhole, lateWhole float64
	left := float64(w.due.Sub(now)) / float64(time.Millisecond)
	reachable := false
	for _, e := range sv.endpoints {
		if !e.open(now) || slices.Contains(w.reg.Exclude, e.record.ID) {
			continue
		}
		first, whole, stall := e.forecast(now, &w.reg)
		inTime := first <= left
		reachable = reachable || inTime
		if len(e.running) >= e.slots(share) || !e.bears(now, share) {
			continue
		}
		if inTime && !e.stalls(&w.reg, stall) && (kept == nil || whole < keptWhole) {
			kept, keptWhole = e, whole
		}
		if late == nil || whole < lateWhole {
			late, lateWhole = e, whole
		}
	}
	if kept != nil {
		return kept
	}
	if reachable && left > 0 && now.Sub(w.arrived) < w.reg.Aim/stallWaits {
		return nil
	}
	return late
}

// stallWaits is the part of its objective that a request waits at most, as a
// divisor, for an endpoint whose other streams it does not stall.
const stallWaits = 4

// stalls reports whether reading the request's prompt would keep the other
// streams of the endpoint waiting for longer than their pause.
func (e *endpoint) stalls(r *Registration, stall float64) bool {
	if !e.service.record.Engine || r.Pause <= 0 || len(e.running) == 0 {
		return false
	}
	_, gap := e.pace()
	return stall+gap > stallPart*float64(r.Pause)/float64(time.Millisecond)
}

// admits reports whether a request that found no room may wait.
func (sv *service) admits(now time.Time, w *waiter) bool {
	if len(sv.endpoints) == 0 {
		return false
	}
	ahead := 0
	for _, o := range sv.waiting {
		if o == w {
			break
		}
		ahead++
	}
	wait := time.Duration(float64(ahead+1) / sv.perSecond(now) * float64(time.Second))
	return wait <= w.patience()
}

// patience returns how long the request may wait from its registration.
func (w *waiter) patience() time.Duration {
	p := max(time.Duration(lateWait*float64(w.reg.Aim)), neverLess)
	if w.again {
		p *= 2
	}
	return min(p, w.reg.Left/2)
}

// overdue returns the requests that have waited too long.
func (sv *service) overdue(now time.Time) []*waiter {
	var out []*waiter
	for _, w := range sv.waiting {
		if now.Sub(w.arrived) >= w.patience() {
			out = append(out, w)
		}
	}
	return out
}
