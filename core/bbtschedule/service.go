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
	defaultHoldMs         = 1000 // time that a request holds its slot
	defaultOutputFraction = 0.6  // of MaxOutputTokens
	maxStallFraction      = 0.8  // of MaxEventGap that a prefill and the usual gap between events may take together
	permitRateWindow      = time.Second
	shortFraction         = 0.3  // of the usual time in a slot, below which a request is short
	topRank               = -1   // of short requests, before all tiers
	completionMargin      = 1.1  // safety factor on the predicted time to completion
	crossZoneFactor       = 1.15 // applied to the predicted time to completion at an endpoint in another availability zone
)

// service is the queue and the endpoints of one service.
type service struct {
	record          *bbtcatalog.Service
	endpoints       []*endpoint // sorted by ID
	waiting         []*waiter   // the queue, sorted by waiter.compare
	permitTimes     []time.Time // permits of the last permitRateWindow
	prefill         estimate    // ms per prompt token, over all endpoints
	gap             estimate    // ms between events
	response        estimate    // ms of a plain call
	outputFraction  estimate    // share of MaxOutputTokens that answers use
	holdTime        estimate    // ms that a request holds its slot
	medianRate      float64     // median failure rate of the endpoints
	medianUpdatedAt time.Time   // time of the last update of medianRate
}

// newService returns a service without endpoints.
func newService(record *bbtcatalog.Service) *service { return &service{record: record} }

// add adds an endpoint.
func (sv *service) add(e *endpoint) {
	sv.endpoints = append(sv.endpoints, e)
	slices.SortFunc(sv.endpoints, func(a, b *endpoint) int { return cmp.Compare(a.record.ID, b.record.ID) })
}

// remove removes an endpoint.
func (sv *service) remove(e *endpoint) {
	sv.endpoints = slices.DeleteFunc(sv.endpoints, func(o *endpoint) bool { return o == e })
}

// enqueue adds a request to the queue.
func (sv *service) enqueue(now time.Time, w *waiter) {
	if sv.record.ModelEngine && sv.isShort(&w.reg) {
		w.rank = topRank
	}
	w.ttft, w.timeToCompletion = sv.fastest(now, &w.reg)
	i, _ := slices.BinarySearchFunc(sv.waiting, w, func(a, b *waiter) int { return cmp.Or(a.compare(b), -1) })
	sv.waiting = slices.Insert(sv.waiting, i, w)
}

// fastest returns the shortest times to the first event and to the completion
// of a request over all endpoints in service, without their current backlogs.
func (sv *service) fastest(now time.Time, r *Registration) (first, total time.Duration) {
	minFirst, minTotal := math.Inf(1), math.Inf(1)
	for _, e := range sv.endpoints {
		if e.record.Draining || e.zoneOut {
			continue
		}
		f, t, _ := e.forecast(now, r)
		backlog := e.backlog(now)
		minFirst, minTotal = min(minFirst, f-backlog), min(minTotal, t-backlog)
	}
	if math.IsInf(minFirst, 1) {
		return 0, 0
	}
	return millis(minFirst), millis(minTotal)
}

// millis converts milliseconds to a duration.
func millis(ms float64) time.Duration { return time.Duration(max(ms, 0) * float64(time.Millisecond)) }

// dequeue removes a request from the queue.
func (sv *service) dequeue(w *waiter) {
	w.dequeued = true
	sv.waiting = slices.DeleteFunc(sv.waiting, func(o *waiter) bool { return o == w })
}

// find returns the waiter with a key, nil if there is none.
func (sv *service) find(k key) *waiter {
	for _, w := range sv.waiting {
		if w.key == k {
			return w
		}
	}
	return nil
}

// waitersOf returns the queued requests of a host.
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
	sv.permitTimes = append(sv.permitTimes, now)
	sv.trim(now)
}

// trim drops permits older than permitRateWindow.
func (sv *service) trim(now time.Time) {
	i := sort.Search(len(sv.permitTimes), func(i int) bool { return now.Sub(sv.permitTimes[i]) < permitRateWindow })
	sv.permitTimes = sv.permitTimes[i:]
}

// permitsPerSecond returns the current rate of permits, or the rate that the
// available slots allow if that is higher, but at least 1.
func (sv *service) permitsPerSecond(now time.Time) float64 {
	sv.trim(now)
	slots := 0
	for _, e := range sv.endpoints {
		if e.available(now) {
			slots += e.slots(1)
		}
	}
	capacity := float64(slots) * 1000 / sv.holdTime.orDefault(defaultHoldMs)
	return max(1, capacity, float64(len(sv.permitTimes))/permitRateWindow.Seconds())
}

// expectedEvents predicts the number of events of a request's answer.
func (sv *service) expectedEvents(r *Registration) float64 {
	tokens := float64(r.MaxOutputTokens) * sv.outputFraction.orDefault(defaultOutputFraction)
	if r.ExpectedOutputTokens > 0 {
		tokens = float64(min(r.ExpectedOutputTokens, max(r.MaxOutputTokens, 1)))
	}
	return max(1, tokens/float64(max(1, sv.record.TokensPerEvent)))
}

// isShort reports whether a request is expected to hold its slot for a small
// fraction of the usual time.
func (sv *service) isShort(r *Registration) bool {
	return sv.expectedEvents(r)*sv.gap.orDefault(defaultEventGapMs) < shortFraction*sv.holdTime.orDefault(defaultHoldMs)
}

// availableEndpoints returns the endpoints that can take a request now, for an
// owner with the given shares of the slots and of the limits.
func (sv *service) availableEndpoints(now time.Time, slotShare, limitShare float64) []*endpoint {
	var out []*endpoint
	for _, e := range sv.endpoints {
		if len(e.running) < e.slots(slotShare) && e.available(now) && e.withinColdRate(now, limitShare) {
			out = append(out, e)
		}
	}
	return out
}

// choose returns the endpoint that is predicted to complete the request first,
// among the candidates that complete it before the caller's deadline, meet its
// latency objective and do not stall other streams. With late it ignores the
// objective and the stalls. It returns nil if the request has to wait.
func (w *waiter) choose(now time.Time, candidates []*endpoint, late bool) *endpoint {
	var best *endpoint
	var bestTotal float64
	maxFirst := float64(w.due.Sub(now)) / float64(time.Millisecond)
	maxTotal := float64(w.maxCompletionTime(now)) / float64(time.Millisecond)
	avoidStalls := now.Sub(w.arrivedAt) < w.reg.EffectiveObjective/stallWaitDivisor
	for _, e := range candidates {
		if slices.Contains(w.reg.Exclude, e.record.ID) {
			continue
		}
		first, total, stall := e.forecast(now, &w.reg)
		if total > maxTotal || !late && (first > maxFirst || avoidStalls && e.stalls(&w.reg, stall)) {
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

// maxCompletionTime returns the time within which an endpoint has to complete
// the request. If no endpoint can complete it before the caller's deadline,
// there is no limit, so that any endpoint may get it.
func (w *waiter) maxCompletionTime(now time.Time) time.Duration {
	left := time.Duration(float64(w.expires.Sub(now)) / completionMargin)
	if w.timeToCompletion > left {
		return math.MaxInt64
	}
	return left
}

// stallWaitDivisor sets for how long after its arrival a request waits rather
// than stall other streams: EffectiveObjective/stallWaitDivisor.
const stallWaitDivisor = 4

// stalls reports whether a prefill that takes stall ms would delay the events of
// the endpoint's other streams for too long. They are assumed to have the same
// MaxEventGap as the request.
func (e *endpoint) stalls(r *Registration, stall float64) bool {
	if !e.service.record.ModelEngine || r.MaxEventGap <= 0 || len(e.running) == 0 {
		return false
	}
	_, gap := e.timings()
	return stall+gap > maxStallFraction*float64(r.MaxEventGap)/float64(time.Millisecond)
}

// queuePosition returns how many queued requests go before w, and the expected
// wait of w.
func (sv *service) queuePosition(now time.Time, w *waiter) (int, time.Duration) {
	ahead, late := 0, w.late(now)
	for _, o := range sv.waiting {
		if o != w && (o.late(now) == late && o.compare(w) < 0 || late && !o.late(now)) {
			ahead++
		}
	}
	return ahead, time.Duration(float64(ahead+1) / sv.permitsPerSecond(now) * float64(time.Second))
}

// admits reports whether a queued request may wait as long as expected: a
// returning caller up to its longest wait, any other one only if it can then
// still meet its latency objective.
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
		if now.Sub(w.arrivedAt) >= w.maxWait() {
			out = append(out, w)
		}
	}
	return out
}
