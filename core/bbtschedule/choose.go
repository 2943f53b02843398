package bbtschedule

import (
	"math"
	"slices"
	"time"
)

// outlook is the state of an endpoint at one time, from which the course of
// requests is predicted. Times are in ms.
type outlook struct {
	endpoint *endpoint
	backlog  float64 // until the prefill of all prompts sent is done
	prefill  float64 // per prompt token
	gap      float64 // between events
	response float64 // of a plain call
	load     float64 // requests per slot
}

func (e *endpoint) outlook(now time.Time) outlook {
	if !e.service.record.ModelEngine {
		return outlook{
			endpoint: e,
			response: e.response.orDefault(e.service.response.orDefault(defaultResponseMs)),
			load:     float64(len(e.running)) / float64(e.slots(1)),
		}
	}
	prefill, gap := e.timings()
	return outlook{endpoint: e, backlog: e.backlog(now), prefill: prefill, gap: gap}
}

// forecast predicts for a request that is sent now the time to its first event
// and to its completion, in ms, and for how long the prefill of prompts then
// stalls the other streams. uncached is the number of its prompt tokens that the
// endpoint has to process.
func (o *outlook) forecast(r *Registration, uncached int) (first, total, stall float64) {
	sv := o.endpoint.service
	if !sv.record.ModelEngine {
		return o.response, o.response * (1 + o.load), 0
	}
	stall = o.backlog + o.prefill*float64(uncached)
	first = stall + o.prefill*overheadTokens
	return first, first + o.gap*sv.expectedEvents(r), stall
}

// stalls reports whether a prefill that takes stall ms would delay the events of
// the endpoint's other streams for too long. They are assumed to have the same
// MaxEventGap as the request.
func (o *outlook) stalls(r *Registration, stall float64) bool {
	if !o.endpoint.service.record.ModelEngine || r.MaxEventGap <= 0 || len(o.endpoint.running) == 0 {
		return false
	}
	return stall+o.gap > maxStallFraction*float64(r.MaxEventGap)/float64(time.Millisecond)
}

// choose returns the endpoint that costs least for the request, among the
// candidates that fit it. It returns nil if the request has to wait.
func (sv *service) choose(now time.Time, w *waiter) *endpoint {
	var best *endpoint
	var bestCost float64
	f := w.fitness(now)
	tr := sv.suspects.trialOf(now, &w.reg)
	if !tr.due {
		return nil
	}
	sv.forEachCandidate(now, w, func(e *endpoint) {
		if !e.hasRoom(now) || tr.suspected && e.trials > 0 {
			return
		}
		o := e.outlook(now)
		cost, ok := f.cost(&o)
		if ok && (best == nil || cost < bestCost || cost == bestCost && e.record.ID < best.record.ID) {
			best, bestCost = e, cost
		}
	})
	return best
}

const (
	maxCompared = 8 // requests of a line that are compared, of those that an endpoint fits
	maxPassed   = 1 // times that a request is passed over by later ones whose prompt an endpoint holds
)

// preferred returns the request of a line that the endpoint is given next, nil if
// the endpoint fits none: the one that has waited longest, where the prefill that the
// endpoint saves, since it holds a part of the prompt, counts as a wait. A request
// that was passed over maxPassed times is given its turn.
func (e *endpoint) preferred(now time.Time, l line) *waiter {
	if len(l) == 0 {
		return nil
	}
	o := e.outlook(now)
	first, _, _ := o.forecast(&l[0].reg, 0)
	earliest := now.Add(millis(first)) // if all of the prompt is cached
	var best *waiter
	var bestCredit float64
	var compared []*waiter
	for _, w := range l[:min(len(l), maxExamined)] {
		if !w.isLate && w.due.Before(earliest) {
			continue
		}
		f := w.fitness(now)
		if _, ok := f.cost(&o); !ok {
			continue
		}
		if tr := e.service.suspects.trialOf(now, &w.reg); !tr.due || tr.suspected && e.trials > 0 {
			continue
		}
		saved := o.prefill * float64(w.reg.PromptTokens-e.uncachedTokens(&w.reg))
		credit := float64(now.Sub(w.arrivedAt))/float64(time.Millisecond) + prefillWeight*saved
		if w.passed >= maxPassed {
			return w
		}
		if best == nil || credit > bestCredit {
			best, bestCredit = w, credit
		}
		if compared = append(compared, w); len(compared) == maxCompared {
			break
		}
	}
	for _, w := range compared {
		if w == best {
			break
		}
		w.passed++
	}
	return best
}

// fitness decides whether endpoints fit a request: whether they complete it before
// the caller's deadline and, unless it is late, meet its latency objective and do
// not stall other streams.
type fitness struct {
	waiter      *waiter
	now         time.Time
	maxFirst    float64 // ms
	maxTotal    float64 // ms
	avoidStalls bool
}

func (w *waiter) fitness(now time.Time) fitness {
	return fitness{
		waiter:      w,
		now:         now,
		maxFirst:    float64(w.due.Sub(now)) / float64(time.Millisecond),
		maxTotal:    float64(w.maxCompletionTime(now)) / float64(time.Millisecond),
		avoidStalls: now.Sub(w.arrivedAt) < w.reg.EffectiveObjective/stallWaitDivisor,
	}
}

// cost reports whether an endpoint fits, and returns how much it costs to use it,
// in ms: the predicted time to completion, weighted by the availability zone, and
// what the prefill of the request delays the other streams of the endpoint.
func (f *fitness) cost(o *outlook) (float64, bool) {
	e, r := o.endpoint, &f.waiter.reg
	if slices.Contains(r.Exclude, e.record.ID) || e.pausesHost(f.now, f.waiter.key.host) || f.waiter.rank == topRank && !e.stated.spares() {
		return 0, false
	}
	// Most endpoints that do not fit do so even if all of the prompt is cached, which
	// takes less time to find out.
	if first, total, _ := o.forecast(r, 0); !f.allows(first, total) {
		return 0, false
	}
	first, total, stall := o.forecast(r, e.uncachedTokens(r))
	if !f.allows(first, total) || f.avoidStalls && !f.waiter.isLate && o.stalls(r, stall) {
		return 0, false
	}
	if r.Zone != e.record.Zone {
		total *= crossZoneFactor
	}
	return total + prefillWeight*(stall-o.backlog), true
}

// allows reports whether a forecast meets the deadline and the objective.
func (f *fitness) allows(first, total float64) bool {
	return total <= f.maxTotal && (f.waiter.isLate || first <= f.maxFirst)
}

// maxCompletionTime returns the time within which an endpoint has to complete
// the request. If no endpoint can complete it before the caller's deadline,
// there is no limit, so that any endpoint may get it.
func (w *waiter) maxCompletionTime(now time.Time) time.Duration {
	if w.work > 0 {
		return w.tieredCompletionTime(now)
	}
	left := time.Duration(float64(w.expires.Sub(now)) / completionMargin)
	if w.timeToCompletion > left {
		return math.MaxInt64
	}
	return left
}

// stallWaitDivisor sets for how long after its arrival a request waits rather
// than stall other streams: EffectiveObjective/stallWaitDivisor.
const stallWaitDivisor = 4
