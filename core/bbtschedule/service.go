package bbtschedule

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"bluebelltray/core/bbtcatalog"
)

const (
	defaultHoldMs         = 1000 // time that a request holds its slot
	defaultOutputFraction = 0.6  // of MaxOutputTokens
	maxStallFraction      = 0.8  // of MaxEventGap that a prefill and the usual gap between events may take together
	permitRateWindow      = time.Second
	shortFraction         = 0.3  // of the usual time in a slot, below which a request is short
	topRank               = -1   // of short requests, before all tiers
	completionMargin      = 1.1  // safety factor on the predicted time to completion
	crossZoneFactor       = 1.05 // applied to the predicted time to completion at an endpoint in another availability zone
	cachedFraction        = 0.8  // of an engine's memory that is assumed to hold the prompts of earlier requests
	prefillWeight         = 5.0  // of the prefill that a request causes, in the choice of an endpoint, beside its time to completion
)

// service is the queue and the endpoints of one service.
type service struct {
	record          *bbtcatalog.Service
	endpoints       []*endpoint // sorted by ID
	queue           queue
	order           order
	orderEpoch      time.Time // origin of the endpoints' orderKey
	holders         holders
	shares          *shares     // of the scheduler
	suspects        *suspects   // of the scheduler
	permitTimes     []time.Time // permits of the last permitRateWindow
	prefill         estimate    // ms per prompt token, over all endpoints
	gap             estimate    // ms between events
	response        estimate    // ms of a plain call
	outputFraction  estimate    // share of MaxOutputTokens that answers use
	holdTime        estimate    // ms that a request holds its slot
	promptTokens    estimate    // of a request
	answerEvents    estimate    // expected of a request
	medianRate      float64     // median failure rate of the endpoints
	medianUpdatedAt time.Time   // time of the last update of medianRate
	hostPausesEnd   time.Time   // latest end of a pause of an endpoint for a host
	tiers           *tiers      // nil unless room is kept for tiers
	running         int         // requests at all endpoints
}

// newService returns a service without endpoints.
func newService(record *bbtcatalog.Service, sh *shares, su *suspects) *service {
	return &service{record: record, queue: newQueue(), shares: sh, suspects: su}
}

// add adds an endpoint.
func (sv *service) add(e *endpoint) {
	sv.endpoints = append(sv.endpoints, e)
	slices.SortFunc(sv.endpoints, func(a, b *endpoint) int { return cmp.Compare(a.record.ID, b.record.ID) })
	sv.order.refreshedAt = time.Time{}
}

// remove removes an endpoint.
func (sv *service) remove(e *endpoint) {
	sv.order.remove(e)
	sv.order.refreshedAt = time.Time{}
	e.removed = true
	sv.endpoints = slices.DeleteFunc(sv.endpoints, func(o *endpoint) bool { return o == e })
}

// enqueue adds a request to the queue.
func (sv *service) enqueue(now time.Time, w *waiter) {
	if sv.tiers == nil && sv.record.ModelEngine && sv.isShort(&w.reg) {
		w.rank = topRank
	}
	sv.promptTokens.observe(float64(w.reg.PromptTokens))
	sv.answerEvents.observe(sv.expectedEvents(&w.reg))
	w.ttft, w.timeToCompletion = sv.fastest(now, &w.reg)
	if sv.tiers != nil {
		sv.tiers.place(sv, w)
	}
	sv.queue.add(now, w)
}

// fastest returns the shortest times to the first event and to the completion
// of a request over the endpoints in service that are the fastest or hold its
// prompt, without their current backlogs.
func (sv *service) fastest(now time.Time, r *Registration) (first, total time.Duration) {
	minFirst, minTotal := math.Inf(1), math.Inf(1)
	consider := func(e *endpoint) {
		o := e.outlook(now)
		f, t, _ := o.forecast(r, e.uncachedTokens(r))
		minFirst, minTotal = min(minFirst, f-o.backlog), min(minTotal, t-o.backlog)
	}
	for _, e := range sv.order.fastest {
		consider(e)
	}
	for _, e := range sv.holders.of(r.PromptBlocks) {
		if !e.removed && !e.draining() && !e.zoneOut {
			consider(e)
		}
	}
	if math.IsInf(minFirst, 1) {
		return 0, 0
	}
	return millis(minFirst), millis(minTotal)
}

// millis converts milliseconds to a duration.
func millis(ms float64) time.Duration { return time.Duration(max(ms, 0) * float64(time.Millisecond)) }

// cacheCapacity returns how many tokens an engine caches besides the requests that
// it runs.
func (sv *service) cacheCapacity() float64 {
	if n := sv.record.CacheTokens; n > 0 {
		return cachedFraction * float64(n)
	}
	return cachedFraction * defaultCacheTokens
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
// available slots and the limits of endpoints allow if that is higher, but at least 1.
func (sv *service) permitsPerSecond(now time.Time) float64 {
	sv.trim(now)
	sv.refresh(now)
	perSlot := 1000 / sv.holdTime.orDefault(defaultHoldMs)
	capacity := float64(sv.order.slots) * perSlot
	for _, e := range sv.order.limited {
		capacity += min(e.stated.rate(sv.shares.limits), float64(e.slots(1))*perSlot)
	}
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

// queuePosition returns how many queued requests go before w, and the expected
// wait of w, which is longer if endpoints want no requests from its host.
func (sv *service) queuePosition(now time.Time, w *waiter) (int, time.Duration) {
	sv.queue.advance(now)
	if sv.tiers != nil {
		return sv.tieredWait(now, w)
	}
	ahead := sv.queue.position(w)
	part, pause := sv.openTo(now, w.key.host)
	return ahead, pause + time.Duration(float64(ahead+1)/(part*sv.permitsPerSecond(now))*float64(time.Second))
}

// admits reports whether a queued request may wait as long as expected: a
// returning caller up to its longest wait, any other one only if it can then
// still meet its latency objective.
func (sv *service) admits(now time.Time, w *waiter, wait time.Duration) bool {
	switch {
	case len(sv.endpoints) == 0:
		return false
	case sv.tiers != nil:
		return sv.admitsTiered(now, w, wait)
	case w.returning:
		return wait <= w.maxWait()
	default:
		return !now.Add(wait + w.ttft).After(w.due)
	}
}
