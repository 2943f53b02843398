package bbtschedule

import (
	"time"

	"bluebelltray/core/bbtcatalog"
)

// Assumptions about an endpoint of which nothing is known yet.
const (
	defaultPrefillMsPerToken = 0.012 // ms to read a prompt token
	defaultEventGapMs        = 50.0  // ms between events
	defaultResponseMs        = 30.0  // ms of a plain call
	maxSilenceTokens         = 10000 // prompt tokens whose reading takes as long as an engine may be silent
	overheadTokens           = 2000  // prompt tokens whose reading takes as long as an engine's fixed work
	coldBurst                = 2.0   // requests that a cold endpoint gets at once
	rampInitialSlots         = 2     // requests at once at an endpoint that was cold
	rampSlotsPerEvent        = 2     // more for each first event that it shows
	// failuresToPause is how many answers in a row have to break off; a single
	// one may be the connection's fault.
	failuresToPause = 2
	failurePause    = 250 * time.Millisecond
	maxPause        = 2 * time.Second
	rejectionPause  = 60 * time.Millisecond
	maxCachedBlocks = 4096 // parts remembered of an engine
)

// endpoint is what the owner knows of one incarnation of a server.
type endpoint struct {
	record              bbtcatalog.Endpoint
	service             *service
	zoneOut             bool // its availability zone is taken out
	running             map[key]*run
	prefillDoneAt       time.Time // when the engine will have read the prompts that it was sent
	pending             int       // runs without a first event
	pendingSince        time.Time // when the first of them was sent
	lastFirstEventAt    time.Time // when the last first event came
	firstEvents         int       // first events since it was cold
	prefill             estimate  // ms for a prompt token
	gap                 estimate  // ms between events
	response            estimate  // ms of a plain call
	coldUntil           time.Time // until then it bears only the cold rate
	coldBucket          tokenBucket
	pausedUntil         time.Time // until then nothing is sent to it
	consecutiveFailures int       // in a row
	failureRate         estimate  // share of its answers that are failures or break off
	cache               prefixCache
}

// incarnation names one run of a server.
type incarnation struct {
	id      string
	startMs int64 // Unix ms
}

// newEndpoint returns an endpoint without work.
func newEndpoint(s *service, record bbtcatalog.Endpoint) *endpoint {
	return &endpoint{record: record, service: s, running: make(map[key]*run), failureRate: estimate{known: true}}
}

// incarnation names this run of the server.
func (e *endpoint) incarnation() incarnation { return incarnation{e.record.ID, e.record.StartTimeMS} }

// slots returns how many requests it may run at once under a share of the
// fleet.
func (e *endpoint) slots(share float64) int {
	n := e.record.Slots
	if n <= 0 {
		n = e.service.record.Slots
	}
	n = max(n, 1)
	if share < 1 {
		n = max(1, int(float64(n)*share))
	}
	if !e.coldUntil.IsZero() {
		n = min(n, rampInitialSlots+rampSlotsPerEvent*e.firstEvents)
	}
	if e.faulty() {
		n = 1
	}
	return n
}

// available reports whether the endpoint may be sent a request now, its slots
// aside.
func (e *endpoint) available(now time.Time) bool {
	return !e.record.Draining && !e.zoneOut && !now.Before(e.pausedUntil)
}

// withinColdRate reports whether a cold endpoint withinColdRate one more request now.
func (e *endpoint) withinColdRate(now time.Time, share float64) bool {
	rate := e.service.record.ColdRate
	if rate <= 0 || !now.Before(e.coldUntil) {
		return true
	}
	e.coldBucket.refill(now, rate*share, coldBurst)
	return e.coldBucket.level >= 1
}

// timings returns the estimates of the endpoint, or those of its service.
func (e *endpoint) timings() (prefill, gap float64) {
	return e.prefill.orDefault(e.service.prefill.orDefault(defaultPrefillMsPerToken)), e.gap.orDefault(e.service.gap.orDefault(defaultEventGapMs))
}

// uncachedTokens returns the prompt tokens of a request that the endpoint does not
// hold.
func (e *endpoint) uncachedTokens(r *Registration) int {
	return max(0, r.PromptTokens-e.cache.cachedTokens(r.PromptBlocks))
}

// forecast returns when a request that is sent now gets its first event and is
// done, in ms from now, and for how long the reading of prompts then stalls the
// other streams.
func (e *endpoint) forecast(now time.Time, r *Registration) (first, total, stall float64) {
	if !e.service.record.ModelEngine {
		response := e.response.orDefault(e.service.response.orDefault(defaultResponseMs))
		load := float64(len(e.running)) / float64(e.slots(1))
		return response, response * (1 + load), 0
	}
	prefill, gap := e.timings()
	stall = e.backlog(now) + prefill*float64(e.uncachedTokens(r))
	first = stall + prefill*overheadTokens
	return first, first + gap*e.service.expectedEvents(r), stall
}

// backlog returns how long the engine reads the prompts that it was sent, in ms.
// While their first events are overdue it takes the engine to be as slow as
// that shows.
func (e *endpoint) backlog(now time.Time) float64 {
	ahead := max(0, float64(e.prefillDoneAt.Sub(now))/float64(time.Millisecond))
	if e.pending == 0 || e.pendingSince.IsZero() {
		return ahead
	}
	prefill, _ := e.timings()
	silent := float64(now.Sub(later(e.pendingSince, e.lastFirstEventAt))) / float64(time.Millisecond)
	return max(ahead, silent-maxSilenceTokens*prefill)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// startRun counts a run that begins now.
func (e *endpoint) startRun(now time.Time, r *run, share float64) {
	e.running[r.key] = r
	if e.pending == 0 {
		e.pendingSince = now
	}
	e.pending++
	if rate := e.service.record.ColdRate; rate > 0 && now.Before(e.coldUntil) {
		e.coldBucket.take(now, rate*share, coldBurst, 1)
	}
	if !e.service.record.ModelEngine {
		return
	}
	prefill, _ := e.timings()
	pending := e.uncachedTokens(&r.reg)
	if e.prefillDoneAt.Before(now) {
		e.prefillDoneAt = now
	}
	r.prefillTokens = float64(e.prefillDoneAt.Sub(now))/float64(time.Millisecond)/prefill + float64(pending)
	e.prefillDoneAt = e.prefillDoneAt.Add(time.Duration(prefill * float64(pending) * float64(time.Millisecond)))
	e.cache.add(r.reg.PromptBlocks)
}

// adoptRun counts a run that began under a former owner.
func (e *endpoint) adoptRun(now time.Time, r *run) {
	e.running[r.key] = r
	e.cache.add(r.reg.PromptBlocks)
	if r.firstEvent {
		return
	}
	if e.pending == 0 {
		e.pendingSince = now
	}
	e.pending++
}

// speed returns what is known of the endpoint's speed.
func (e *endpoint) speed() SpeedEstimate {
	return SpeedEstimate{PrefillMsPerToken: float32(e.prefill.orDefault(0)), EventGapMs: float32(e.gap.orDefault(0)), ResponseMs: float32(e.response.orDefault(0)), FirstEvents: e.firstEvents}
}

// importSpeed takes over what another owner has importSpeed.
func (e *endpoint) importSpeed(v SpeedEstimate) {
	for _, l := range []struct {
		e *estimate
		v float32
	}{{&e.prefill, v.PrefillMsPerToken}, {&e.gap, v.EventGapMs}, {&e.response, v.ResponseMs}} {
		if l.v > 0 {
			l.e.value, l.e.known = float64(l.v), true
		}
	}
	e.firstEvents = max(e.firstEvents, v.FirstEvents)
}

// firstEvent learns from the first event of a run.
func (e *endpoint) firstEvent(now time.Time, r *run) {
	if r.firstEvent {
		return
	}
	r.firstEvent = true
	e.pending--
	e.lastFirstEventAt = now
	e.firstEvents++
	e.consecutiveFailures = 0
	if e.pending == 0 && e.prefillDoneAt.After(now) {
		e.prefillDoneAt = now
	}
	if !e.service.record.ModelEngine || r.adopted {
		return
	}
	took := float64(now.Sub(r.granted)) / float64(time.Millisecond)
	sample := took / (r.prefillTokens + overheadTokens)
	e.prefill.observe(sample)
	e.service.prefill.observe(sample)
}

// endRun takes a run out and learns from how it ended.
func (e *endpoint) endRun(now time.Time, r *run, d Done) {
	delete(e.running, r.key)
	if !r.firstEvent {
		e.pending--
		if e.pending == 0 && e.prefillDoneAt.After(now) {
			e.prefillDoneAt = now
		}
	}
	switch d.Outcome {
	case Finished:
		e.consecutiveFailures = 0
		e.recordFinished(now, r, d)
	case Rejected:
		e.pause(now, rejectionPause)
	case Unreachable:
		e.consecutiveFailures++
		e.pause(now, e.failurePause())
	case ConnectionLost, IdleTimeout:
		e.consecutiveFailures++
		if e.consecutiveFailures >= failuresToPause {
			e.pause(now, e.failurePause())
		}
	case Failed:
		e.consecutiveFailures++
	}
	e.updateFailureRate(now, d.Outcome)
}

// failurePause returns for how long nothing is sent after another failure in a
// row.
func (e *endpoint) failurePause() time.Duration {
	return min(maxPause, failurePause<<min(e.consecutiveFailures-1, 4))
}

// recordFinished learns from a whole answer.
func (e *endpoint) recordFinished(now time.Time, r *run, d Done) {
	e.service.holdTime.observe(float64(now.Sub(r.granted)) / float64(time.Millisecond))
	if !e.service.record.ModelEngine {
		took := float64(now.Sub(r.granted)) / float64(time.Millisecond)
		e.response.observe(took)
		e.service.response.observe(took)
		return
	}
	if d.Events < 2 {
		return
	}
	gap := float64(d.Span) / float64(time.Millisecond) / float64(d.Events-1)
	e.gap.observe(gap)
	e.service.gap.observe(gap)
	if r.reg.MaxOutputTokens > 0 && r.reg.ExpectedOutputTokens == 0 {
		e.service.outputFraction.observe(float64(d.Events*max(1, e.service.record.TokensPerEvent)) / float64(r.reg.MaxOutputTokens))
	}
}

// pause keeps requests from the endpoint for a while.
func (e *endpoint) pause(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(e.pausedUntil) {
		e.pausedUntil = until
	}
}
