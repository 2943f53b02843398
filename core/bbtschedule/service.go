package bbtschedule

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtfleet"
)

const (
	defaultHoldMs         = 1000 // ms that a request takes its slot
	defaultOutputFraction = 0.6  // part of the output tokens asked for that a stream has
	maxStallFraction      = 0.8  // of the pause that is on time, for reading prompts beside a stream
	permitRateWindow      = time.Second
	shortFraction         = 0.3 // of the usual time in a slot, below which a request is brief
	topRank               = -1
	completionMargin      = 1.1  // factor on a forecast end that has to be in the caller's time
	crossZoneFactor       = 1.15 // factor on the time of a request at an endpoint in another availability zone
)

// service is the waiting requests and the endpoints of one service.
type service struct {
	record          *bbtcatalog.Service
	endpoints       []*endpoint // sorted by ID
	waiting         []*waiter   // in the order in which they go
	grants          []time.Time // of the last rateWindow
	prefill         estimate    // ms for a prompt token, over all endpoints
	gap             estimate    // ms between events
	response        estimate    // ms of a plain call
	outputFraction  estimate    // part of the output tokens asked for that a stream has
	holdTime        estimate    // ms that a request takes its slot
	medianRate      float64     // share of failures of the endpoints in the middle
	medianUpdatedAt time.Time   // when that was updated last
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

// enqueue puts a request into the waiting room.
func (sv *service) enqueue(now time.Time, w *waiter) {
	if sv.record.ModelEngine && sv.isShort(&w.reg) {
		w.rank = topRank
	}
	w.ttft, w.timeToCompletion = sv.fastest(now, &w.reg)
	i, _ := slices.BinarySearchFunc(sv.waiting, w, func(a, b *waiter) int { return cmp.Or(a.compare(b), -1) })
	sv.waiting = slices.Insert(sv.waiting, i, w)
}

// fastest returns the times until the first event of a request and until its
// end at the endpoints that are fastest when they have nothing else to read.
func (sv *service) fastest(now time.Time, r *Registration) (first, total time.Duration) {
	minFirst, minTotal := math.Inf(1), math.Inf(1)
	for _, e := range sv.endpoints {
		if e.record.Draining || e.zoneOut {
			continue
		}
		f, w, _ := e.forecast(now, r)
		backlog := e.backlog(now)
		minFirst, minTotal = min(minFirst, f-backlog), min(minTotal, w-backlog)
	}
	if math.IsInf(minFirst, 1) {
		return 0, 0
	}
	return millis(minFirst), millis(minTotal)
}

// millis returns a duration of milliseconds.
func millis(ms float64) time.Duration { return time.Duration(max(ms, 0) * float64(time.Millisecond)) }

// dequeue takes a request out of the waiting room.
func (sv *service) dequeue(w *waiter) {
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

// waitersOf returns the waiters waitersOf a host.
func (sv *service) waitersOf(host bbtfleet.HostID) []*waiter {
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
	i := sort.Search(len(sv.grants), func(i int) bool { return now.Sub(sv.grants[i]) < permitRateWindow })
	sv.grants = sv.grants[i:]
}

// permitsPerSecond returns how many permits the service gives in a second at present,
// or could give if that is more.
func (sv *service) permitsPerSecond(now time.Time) float64 {
	sv.trim(now)
	slots := 0
	for _, e := range sv.endpoints {
		if e.available(now) {
			slots += e.slots(1)
		}
	}
	could := float64(slots) * 1000 / sv.holdTime.orDefault(defaultHoldMs)
	return max(1, could, float64(len(sv.grants))/permitRateWindow.Seconds())
}

// expectedEvents returns how many expectedEvents a request's answer is likely to have.
func (sv *service) expectedEvents(r *Registration) float64 {
	tokens := float64(r.MaxOutputTokens) * sv.outputFraction.orDefault(defaultOutputFraction)
	if r.ExpectedOutputTokens > 0 {
		tokens = float64(min(r.ExpectedOutputTokens, max(r.MaxOutputTokens, 1)))
	}
	return max(1, tokens/float64(max(1, sv.record.TokensPerEvent)))
}

// isShort reports whether a request holds its slot for a small part of the time
// that requests usually do.
func (sv *service) isShort(r *Registration) bool {
	return sv.expectedEvents(r)*sv.gap.orDefault(defaultEventGapMs) < shortFraction*sv.holdTime.orDefault(defaultHoldMs)
}

// availableEndpoints returns the endpoints that can take a request now.
func (sv *service) availableEndpoints(now time.Time, slots, share float64) []*endpoint {
	var out []*endpoint
	for _, e := range sv.endpoints {
		if len(e.running) < e.slots(slots) && e.available(now) && e.withinColdRate(now, share) {
			out = append(out, e)
		}
	}
	return out
}

// choose returns the endpoint among those with room on which the request is
// done first while keeping its objective. If it cannot keep that, late says
// whether it is to be sent all the same. It returns nil if the request has to
// wait.
func (w *waiter) choose(now time.Time, room []*endpoint, late bool) *endpoint {
	var best *endpoint
	var bestTotal float64
	left := float64(w.due.Sub(now)) / float64(time.Millisecond)
	ends := float64(w.completionTime(now)) / float64(time.Millisecond)
	patient := now.Sub(w.arrived) < w.reg.LatencyObjective/stallWaitDivisor
	for _, e := range room {
		if slices.Contains(w.reg.Exclude, e.record.ID) {
			continue
		}
		first, total, stall := e.forecast(now, &w.reg)
		if total > ends || !late && (first > left || patient && e.stalls(&w.reg, stall)) {
			continue
		}
		if w.reg.Zone != e.record.Zone {
			total *= crossZoneFactor
		}
		if best == nil || total < bestTotal {
			best, bestTotal = e, total
		}
	}
	return best
}

// completionTime returns the time in which an endpoint has to finish the request. One
// that no endpoint finishes in the caller's time is sent to any.
func (w *waiter) completionTime(now time.Time) time.Duration {
	left := time.Duration(float64(w.expires.Sub(now)) / completionMargin)
	if w.timeToCompletion > left {
		return math.MaxInt64
	}
	return left
}

// stallWaitDivisor is the part of its objective that a request waits at most, as a
// divisor, for an endpoint whose other streams it does not stall.
const stallWaitDivisor = 4

// stalls reports whether reading the request's prompt would keep the other
// streams of the endpoint waiting for longer than their pause.
func (e *endpoint) stalls(r *Registration, stall float64) bool {
	if !e.service.record.ModelEngine || r.MaxEventGap <= 0 || len(e.running) == 0 {
		return false
	}
	_, gap := e.timings()
	return stall+gap > maxStallFraction*float64(r.MaxEventGap)/float64(time.Millisecond)
}

// queuePosition returns how many waiting requests go before one, and how long it is
// likely to wait for them.
func (sv *service) queuePosition(now time.Time, w *waiter) (int, time.Duration) {
	ahead, late := 0, w.late(now)
	for _, o := range sv.waiting {
		if o != w && (o.late(now) == late && o.compare(w) < 0 || late && !o.late(now)) {
			ahead++
		}
	}
	return ahead, time.Duration(float64(ahead+1) / sv.permitsPerSecond(now) * float64(time.Second))
}

// admits reports whether a request that found no room may wait so long: it must
// be likely to get its turn while it keeps its objective, or before it is given
// up if it came back as told.
func (sv *service) admits(now time.Time, w *waiter, wait time.Duration) bool {
	switch {
	case len(sv.endpoints) == 0:
		return false
	case w.returning:
		return wait <= w.maxWait()
	default:
		return !now.Add(wait + w.ttft).After(w.due)
	}
}

// overdue returns the requests that have waited too long.
func (sv *service) overdue(now time.Time) []*waiter {
	var out []*waiter
	for _, w := range sv.waiting {
		if now.Sub(w.arrived) >= w.maxWait() {
			out = append(out, w)
		}
	}
	return out
}
