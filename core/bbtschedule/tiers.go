package bbtschedule

import (
	"time"

	"bluebelltray/core/bbtpromise"
	"bluebelltray/core/bbtroom"
	"bluebelltray/core/bbtshare"
)

const (
	// routeTiers is the number of route tiers that are told apart within a tier of
	// client accounts, which goes first.
	routeTiers = 16
	// tierFloor is the part of the slots that each less urgent tier may use before the
	// more urgent ones, so that none is starved.
	tierFloor = 1.0 / 32
	// tieredCompletionMargin is the safety factor on the predicted time to completion. It
	// covers answers that are twice as long as their callers expect.
	tieredCompletionMargin = 2.0
	// fastestMargin is the factor over the shortest time to completion up to which an
	// endpoint counts as one of the fastest.
	fastestMargin = 1.5
	// slowWeight is the weight of a new sample in the estimates of a request's work.
	slowWeight = 0.02
	// tightPart is the part of its latency objective below which the slack of a request
	// is tight.
	tightPart = 0.75
	// patiencePart is the part of the time after which callers abandon a stream
	// without events for which a request may wait.
	patiencePart = 0.6
)

// Callers abandon a stream without events after the longest of these times.
const (
	abandonAfter      = 2 * time.Second
	abandonObjectives = 4 // latency objectives
	abandonGaps       = 8 // maximum gaps between events
)

// tiers is the state of a service that keeps room for its more urgent tiers. Its
// queue serves the tiers in their order, divides a tier's room among client accounts
// and holds no request longer than it can expect to be served.
type tiers struct {
	room    bbtroom.Room
	score   bbtroom.Score
	book    bbtpromise.Book
	clocks  map[int]*bbtshare.Clock // by rank
	weights map[string]float64      // of client accounts with a contracted rate
	mean    float64                 // of weights, for the other accounts
	prefill estimate                // ms per prompt token
	gap     estimate                // ms between events
	held    estimate                // ms in a slot, as measured
	maxGap  time.Duration           // shortest that a request allows between events; 0 for none
	slack   estimate                // ms that requests of the most urgent tier may wait
}

// workOf returns the time that a request is expected to hold a slot of an engine of
// mean speed.
func (t *tiers) workOf(sv *service, r *Registration) time.Duration {
	if !sv.record.ModelEngine {
		return millis(t.held.orDefault(sv.response.orDefault(defaultResponseMs)))
	}
	prefill := t.prefill.orDefault(defaultPrefillMsPerToken)
	gap := t.gap.orDefault(defaultEventGapMs)
	return millis(prefill*float64(r.PromptTokens+overheadTokens) + gap*sv.expectedEvents(r))
}

// place sets what decides the place of a new request in the queue.
func (t *tiers) place(sv *service, w *waiter) {
	w.rank = t.rankOf(&w.reg)
	w.work = t.workOf(sv, &w.reg)
	if gap := w.reg.MaxEventGap; gap > 0 && (t.maxGap == 0 || gap < t.maxGap) {
		t.maxGap = gap
	}
	w.patience = min(patienceOf(sv, &w.reg), w.reg.RemainingTime/remainingTimeDivisor)
	slack := w.due.Sub(w.arrivedAt) - w.ttft
	switch {
	case w.returning || w.reg.Attempt > 0 || w.reg.RemainingObjective <= 0:
	case slack <= 0:
		w.oversized = true
	case float64(slack) < tightPart*float64(w.reg.EffectiveObjective):
		w.tight = true
	}
	if w.reg.RouteTier > 0 && !w.returning && slack > 0 && t.room.LoadOf(w.arrivedAt, w.rank) < tierFloor*t.room.Slots() {
		w.rank = topRank
	}
	w.tag = t.clock(w.rank).Tag(w.reg.Account, w.work.Seconds(), t.weight(w.reg.Account))
	if w.reg.RouteTier == 0 && slack > 0 {
		t.slack.observeWith(float64(slack)/float64(time.Millisecond), slowWeight)
	}
}

// rankOf returns the rank of a request among those of all accounts and routes.
func (t *tiers) rankOf(r *Registration) int {
	return r.Tier*routeTiers + min(max(r.RouteTier, 0), routeTiers-1)
}

// tieredCompletionTime returns the time within which an endpoint has to complete a
// request: lengths are known roughly, so the fastest endpoints get those that may outlast
// their deadline elsewhere.
func (w *waiter) tieredCompletionTime(now time.Time) time.Duration {
	left := time.Duration(float64(w.expires.Sub(now)) / tieredCompletionMargin)
	return max(left, time.Duration(fastestMargin*float64(w.timeToCompletion)))
}

// patienceOf returns for how long a request may wait, going by what its caller bears.
func patienceOf(sv *service, r *Registration) time.Duration {
	if !sv.record.ModelEngine {
		return time.Duration(returningWaitObjectives * float64(r.EffectiveObjective))
	}
	abandon := max(abandonAfter, abandonObjectives*r.EffectiveObjective, abandonGaps*r.MaxEventGap)
	return time.Duration(patiencePart * float64(abandon))
}

// clock returns the clock that orders the requests of a rank.
func (t *tiers) clock(rank int) *bbtshare.Clock {
	c := t.clocks[rank]
	if c == nil {
		c = new(bbtshare.Clock)
		t.clocks[rank] = c
	}
	return c
}

// weight returns the weight of an account, which is its contracted rate.
func (t *tiers) weight(account string) float64 {
	if w, ok := t.weights[account]; ok {
		return w
	}
	return t.mean
}

// served records that a request leaves the queue with a permit.
func (t *tiers) served(now time.Time, w *waiter) {
	if w.class() == timelyLine { // the others are not served in the order of their tags
		t.clock(w.rank).Served(w.tag)
	}
	if had := now.Sub(w.arrivedAt); w.told > 0 {
		t.score.Served(w.reg.RouteTier, w.told, had)
		t.room.Waited(w.rank, w.forecast, had)
	}
}

// ended records for how long a finished request held its slot.
func (t *tiers) ended(work, held time.Duration) {
	if work <= 0 {
		return
	}
	t.room.Ended(work, held)
	t.held.observeWith(float64(held)/float64(time.Millisecond), slowWeight)
}
