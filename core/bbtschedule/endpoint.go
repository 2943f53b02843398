package bbtschedule

import (
	"time"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtpace"
)

// Parameters of endpoint scheduling. The defaults apply until an endpoint or
// its service has samples.
const (
	defaultPrefillMsPerToken = 0.012
	defaultEventGapMs        = 50.0
	defaultResponseMs        = 30.0  // of a plain call
	maxSilenceTokens         = 10000 // longest normal time without a first event, as prompt tokens prefilled in that time
	overheadTokens           = 2000  // time of an engine's fixed work per request, as prompt tokens prefilled in that time
	coldBurst                = 2.0   // requests that a cold endpoint may get at once
	rampInitialSlots         = 2     // slots of an endpoint that was cold and has no first event yet
	rampSlotsPerEvent        = 2     // slots added by each first event
	// failuresToPause is the number of consecutive failures from which a lost
	// connection or an idle timeout pauses the endpoint; a single one may be a
	// fault of the connection only.
	failuresToPause     = 2
	initialFailurePause = 250 * time.Millisecond
	maxPause            = 2 * time.Second
	rejectionPause      = 60 * time.Millisecond
	minPaceEvents       = 6       // of a stream that shows an endpoint's pace
	maxSlots            = 1 << 20 // of an endpoint, so that sums over endpoints do not overflow
)

// endpoint is the state that the owner keeps of one incarnation of a server.
type endpoint struct {
	record              bbtcatalog.Endpoint
	service             *service
	zoneOut             bool // its availability zone is out of service
	saysDraining        bool // it has said in an answer that it is draining
	running             map[key]*run
	prefillDoneAt       time.Time // predicted end of the prefill of all prompts sent
	pending             int       // runs without a first event
	trials              int       // of these, trials
	pendingSince        time.Time // start of the current period with pending runs
	lastFirstEventAt    time.Time
	firstEvents         int       // since the endpoint appeared, as counted by this owner or reported by a former one
	prefill             estimate  // ms per prompt token
	gap                 estimate  // ms between events
	response            estimate  // ms of a plain call
	coldUntil           time.Time // the cold rate applies until then
	coldBucket          tokenBucket
	pausedUntil         time.Time // no requests are sent until then
	consecutiveFailures int
	failureRate         estimate // share of its answers that fail or break off
	cache               prefixCache
	stated              stated
	hostPauses          hostPauses
	pace                bbtpace.Pace
	takes               int    // slots that it takes well; 0 if room is not kept for tiers
	crash               *crash // the latest one that is possible; nil if none is

	// Set by order.
	removed  bool       // no longer among the service's endpoints
	ordered  *zoneOrder // that contains the endpoint; nil if it cannot take a request
	orderKey float64    // its position there
	idleMs   float64    // time to completion of a mean request without a backlog
}

// incarnation identifies one process of a server that may restart.
type incarnation struct {
	id      string // ID of the endpoint; a restarted server may keep it
	startMs int64  // start of the process, Unix ms
}

// newEndpoint returns an endpoint without running requests.
func newEndpoint(s *service, record bbtcatalog.Endpoint) *endpoint {
	return &endpoint{record: record, service: s, running: make(map[key]*run), failureRate: estimate{known: true}}
}

func (e *endpoint) incarnation() incarnation { return incarnation{e.record.ID, e.record.StartTimeMS} }

// slots returns how many requests the endpoint may run concurrently for an
// owner that may use the given share of its slots. An endpoint that was cold
// ramps up with its first events, and a faulty one gets a single request at a
// time.
func (e *endpoint) slots(share float64) int {
	n := e.record.Slots
	if n <= 0 {
		n = e.service.record.Slots
	}
	n = min(max(n, 1), maxSlots)
	if share < 1 {
		n = max(1, int(float64(n)*share))
	}
	if !e.coldUntil.IsZero() {
		n = min(n, rampInitialSlots+rampSlotsPerEvent*e.firstEvents)
	}
	if e.takes > 0 {
		n = min(n, e.takes)
	}
	if e.faulty() {
		n = 1
	}
	return n
}

// updatePace updates how many slots the endpoint takes well.
func (e *endpoint) updatePace(now time.Time) {
	t := e.service.tiers
	if t == nil || !e.service.record.ModelEngine {
		e.takes = 0
		return
	}
	e.takes = 0
	e.takes = e.pace.Limit(now, e.slots(1), t.maxGap)
}

// available reports whether the endpoint accepts requests now, regardless of
// its free slots.
func (e *endpoint) available(now time.Time) bool {
	return !e.draining() && !e.zoneOut && !now.Before(e.pausedUntil)
}

// hasRoom reports whether the endpoint can take one more request now.
func (e *endpoint) hasRoom(now time.Time) bool {
	sh := e.service.shares
	return len(e.running) < e.slots(sh.slots) && e.available(now) && e.withinColdRate(now, sh.limits) && e.stated.allows(now, sh.limits)
}

// withinColdRate reports whether the rate limit of a cold endpoint allows one
// more request now. Endpoints that are not cold have no such limit.
func (e *endpoint) withinColdRate(now time.Time, limitShare float64) bool {
	rate := e.service.record.ColdRate
	if rate <= 0 || !now.Before(e.coldUntil) {
		return true
	}
	e.coldBucket.refill(now, rate*limitShare, coldBurst)
	return e.coldBucket.level >= 1
}

// timings returns the prefill time per token and the time between events, in
// ms. Without samples of the endpoint it uses those of its service.
func (e *endpoint) timings() (prefill, gap float64) {
	return e.prefill.orDefault(e.service.prefill.orDefault(defaultPrefillMsPerToken)), e.gap.orDefault(e.service.gap.orDefault(defaultEventGapMs))
}

// uncachedTokens returns how many prompt tokens of a request are not in the
// endpoint's prefix cache.
func (e *endpoint) uncachedTokens(r *Registration) int {
	return max(0, r.PromptTokens-e.cache.cachedTokens(r.PromptBlocks, e.service.cacheCapacity()))
}

// backlog returns how long the engine still needs for the prefill of the
// prompts that it was sent, in ms. If no first event has arrived for longer
// than the prefill of maxSilenceTokens takes, the engine is assumed to be
// slower than estimated, and the backlog is taken to be at least the excess.
func (e *endpoint) backlog(now time.Time) float64 {
	ahead := max(0, float64(e.prefillDoneAt.Sub(now))/float64(time.Millisecond))
	if e.pending == 0 || e.pendingSince.IsZero() {
		return ahead
	}
	prefill, _ := e.timings()
	silence := float64(now.Sub(later(e.pendingSince, e.lastFirstEventAt))) / float64(time.Millisecond)
	return max(ahead, silence-maxSilenceTokens*prefill)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// startRun adds a run that starts now, and its prompt to the prefill backlog.
func (e *endpoint) startRun(now time.Time, r *run) {
	defer e.service.reorder(now, e)
	e.running[r.key] = r
	e.service.running++
	if e.pending == 0 {
		e.pendingSince = now
	}
	e.pending++
	if r.trial {
		e.trials++
	}
	e.stated.take(now, e.service.shares.limits)
	if rate := e.service.record.ColdRate; rate > 0 && now.Before(e.coldUntil) {
		e.coldBucket.take(now, rate*e.service.shares.limits, coldBurst, 1)
	}
	if !e.service.record.ModelEngine {
		return
	}
	prefill, _ := e.timings()
	uncached := e.uncachedTokens(&r.reg)
	if e.prefillDoneAt.Before(now) {
		e.prefillDoneAt = now
	}
	r.prefillTokens = float64(e.prefillDoneAt.Sub(now))/float64(time.Millisecond)/prefill + float64(uncached)
	e.prefillDoneAt = e.prefillDoneAt.Add(time.Duration(prefill * float64(uncached) * float64(time.Millisecond)))
	e.cachePrompt(&r.reg)
}

// cachePrompt records that the engine is sent the prompt of a request.
func (e *endpoint) cachePrompt(r *Registration) {
	sv := e.service
	stored := float64(e.uncachedTokens(r)) + sv.expectedEvents(r)*float64(max(1, sv.record.TokensPerEvent))
	e.cache.add(r.PromptBlocks, stored, sv.cacheCapacity())
	e.service.holders.add(e, r.PromptBlocks)
}

// adoptRun adds a run that started under a former owner.
func (e *endpoint) adoptRun(now time.Time, r *run) {
	defer e.service.reorder(now, e)
	e.running[r.key] = r
	e.service.running++
	e.cachePrompt(&r.reg)
	if r.firstEvent {
		return
	}
	if e.pending == 0 {
		e.pendingSince = now
	}
	e.pending++
}

// speed returns the estimates of the endpoint's speed, for the next owner.
func (e *endpoint) speed() SpeedEstimate {
	return SpeedEstimate{PrefillMsPerToken: float32(e.prefill.orDefault(0)), EventGapMs: float32(e.gap.orDefault(0)), ResponseMs: float32(e.response.orDefault(0)), FirstEvents: e.firstEvents, Takes: e.takes}
}

// importSpeed adopts the estimates of another owner.
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
	if v.Takes > 0 {
		e.pace.Adopt(v.Takes)
	}
}

// leavePending removes a run from those without a first event.
func (e *endpoint) leavePending(now time.Time, r *run) {
	e.pending--
	if r.trial {
		e.trials--
	}
	if e.pending == 0 && e.prefillDoneAt.After(now) {
		e.prefillDoneAt = now
	}
}

// firstEvent records the first event of a run and updates the prefill estimate.
// Runs that started under a former owner, or late for a lost permit, give no samples.
func (e *endpoint) firstEvent(now time.Time, r *run) {
	if r.firstEvent {
		return
	}
	defer e.service.reorder(now, e)
	r.firstEvent, r.firstEventAt, r.load = true, now, len(e.running)
	e.leavePending(now, r)
	e.lastFirstEventAt = now
	e.firstEvents++
	e.consecutiveFailures = 0
	if !e.service.record.ModelEngine || r.adopted || r.repeated {
		return
	}
	took := float64(now.Sub(r.granted)) / float64(time.Millisecond)
	sample := took / (r.prefillTokens + overheadTokens)
	if t := e.service.tiers; t != nil {
		t.prefill.observeWith(sample, slowWeight)
	}
	e.prefill.observe(sample)
	e.service.prefill.observe(sample)
}

// endRun removes a run and updates the endpoint's pauses and estimates from its
// outcome.
func (e *endpoint) endRun(now time.Time, r *run, d Done) {
	defer e.service.reorder(now, e)
	if _, ok := e.running[r.key]; ok {
		delete(e.running, r.key)
		e.service.running--
	}
	if !r.firstEvent {
		e.leavePending(now, r)
	}
	switch d.Outcome {
	case Finished:
		e.consecutiveFailures = 0
		e.recordFinished(now, r, d)
	case Rejected:
		e.pause(now, rejectionPause)
	case Unreachable, Misdirected:
		e.consecutiveFailures++
		e.pause(now, e.failurePause())
	case ConnectionLost, IdleTimeout:
		if !r.silent {
			e.consecutiveFailures++
		}
		if e.consecutiveFailures >= failuresToPause {
			e.pause(now, e.failurePause())
		}
	case Failed:
		e.consecutiveFailures++
	}
	e.recordOutcome(now, d.Outcome)
}

// failurePause returns for how long the endpoint gets no requests after another
// consecutive failure.
func (e *endpoint) failurePause() time.Duration {
	return min(maxPause, initialFailurePause<<min(e.consecutiveFailures-1, 4))
}

// recordFinished updates the estimates from a complete answer.
func (e *endpoint) recordFinished(now time.Time, r *run, d Done) {
	e.service.holdTime.observe(float64(now.Sub(r.granted)) / float64(time.Millisecond))
	if t := e.service.tiers; t != nil && !r.adopted {
		t.ended(r.work, now.Sub(r.granted))
	}
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
	if t := e.service.tiers; t != nil {
		t.gap.observeWith(gap, slowWeight)
		if r.load > 0 && d.Events >= minPaceEvents {
			e.pace.Observe(now, (r.load+len(e.running)+2)/2, d.Span/time.Duration(d.Events-1)) // the run has left
		}
	}
	e.gap.observe(gap)
	e.service.gap.observe(gap)
	if r.reg.MaxOutputTokens > 0 && r.reg.ExpectedOutputTokens == 0 {
		e.service.outputFraction.observe(float64(d.Events*max(1, e.service.record.TokensPerEvent)) / float64(r.reg.MaxOutputTokens))
	}
}

// pause keeps the endpoint from getting requests for at least d.
func (e *endpoint) pause(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(e.pausedUntil) {
		e.pausedUntil = until
	}
}
