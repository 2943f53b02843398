package bbtschedule

import (
	"time"

	"bluebelltray/core/bbtcatalog"
)

// Assumptions about an endpoint of which nothing is known yet.
const (
	assumedRead   = 0.012 // ms to read a prompt token
	assumedGap    = 50.0  // ms between events
	assumedAnswer = 30.0  // ms of a plain call
	overdueTokens = 10000 // prompt tokens whose reading takes as long as an engine may be silent
	fixedTokens   = 2000  // prompt tokens whose reading takes as long as an engine's fixed work
	coldBurst     = 2.0   // requests that a cold endpoint gets at once
	rampFirst     = 2     // requests at once at an endpoint that was cold
	rampStep      = 2     // more for each first event that it shows
	// failuresToPause is how many answers in a row have to break off; a single
	// one may be the connection's fault.
	failuresToPause = 2
	failurePause    = 250 * time.Millisecond
	maxPause        = 2 * time.Second
	rejectionPause  = 60 * time.Millisecond
	prefixesKept    = 4096 // parts remembered of an engine
)

// endpoint is what the owner knows of one incarnation of a server.
type endpoint struct {
	record   bbtcatalog.Endpoint
	service  *service
	out      bool // its availability zone is taken out
	running  map[key]*run
	readyAt  time.Time // when the engine will have read the prompts that it was sent
	unread   int       // runs without a first event
	sentAt   time.Time // when the first of them was sent
	beganAt  time.Time // when the last first event came
	proven   int       // first events since it was cold
	read     estimate  // ms for a prompt token
	gap      estimate  // ms between events
	answer   estimate  // ms of a plain call
	cold     time.Time // until then it bears only the cold rate
	coldRate bucket
	paused   time.Time // until then nothing is sent to it
	failures int       // in a row
	faults   estimate  // share of its answers that are failures or break off
	held     prefixes
}

// incarnation names one run of a server.
type incarnation struct {
	id   string
	born int64 // Unix ms
}

// newEndpoint returns an endpoint without work.
func newEndpoint(s *service, record bbtcatalog.Endpoint) *endpoint {
	return &endpoint{record: record, service: s, running: make(map[key]*run), faults: estimate{known: true}}
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
	if !e.cold.IsZero() {
		n = min(n, rampFirst+rampStep*e.proven)
	}
	if e.faulty() {
		n = 1
	}
	return n
}

// open reports whether the endpoint may be sent a request now, its slots
// aside.
func (e *endpoint) open(now time.Time) bool {
	return !e.record.Draining && !e.out && !now.Before(e.paused)
}

// bears reports whether a cold endpoint bears one more request now.
func (e *endpoint) bears(now time.Time, share float64) bool {
	rate := e.service.record.ColdRate
	if rate <= 0 || !now.Before(e.cold) {
		return true
	}
	e.coldRate.fill(now, rate*share, coldBurst)
	return e.coldRate.level >= 1
}

// pace returns the estimates of the endpoint, or those of its service.
func (e *endpoint) pace() (read, gap float64) {
	return e.read.or(e.service.read.or(assumedRead)), e.gap.or(e.service.gap.or(assumedGap))
}

// unreadOf returns the prompt tokens of a request that the endpoint does not
// hold.
func (e *endpoint) unreadOf(r *Registration) int {
	return max(0, r.PromptTokens-e.held.tokens(r.PromptBlocks))
}

// forecast returns when a request that is sent now gets its first event and is
// done, in ms from now, and for how long the reading of prompts then stalls the
// other streams.
func (e *endpoint) forecast(now time.Time, r *Registration) (first, whole, stall float64) {
	if !e.service.record.ModelEngine {
		answer := e.answer.or(e.service.answer.or(assumedAnswer))
		load := float64(len(e.running)) / float64(e.slots(1))
		return answer, answer * (1 + load), 0
	}
	read, gap := e.pace()
	stall = e.backlog(now) + read*float64(e.unreadOf(r))
	first = stall + read*fixedTokens
	return first, first + gap*e.service.events(r), stall
}

// backlog returns how long the engine reads the prompts that it was sent, in ms.
// While their first events are overdue it takes the engine to be as slow as
// that shows.
func (e *endpoint) backlog(now time.Time) float64 {
	ahead := max(0, float64(e.readyAt.Sub(now))/float64(time.Millisecond))
	if e.unread == 0 || e.sentAt.IsZero() {
		return ahead
	}
	read, _ := e.pace()
	silent := float64(now.Sub(later(e.sentAt, e.beganAt))) / float64(time.Millisecond)
	return max(ahead, silent-overdueTokens*read)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// grant counts a run that begins now.
func (e *endpoint) grant(now time.Time, r *run, share float64) {
	e.running[r.key] = r
	if e.unread == 0 {
		e.sentAt = now
	}
	e.unread++
	if rate := e.service.record.ColdRate; rate > 0 && now.Before(e.cold) {
		e.coldRate.take(now, rate*share, coldBurst, 1)
	}
	if !e.service.record.ModelEngine {
		return
	}
	read, _ := e.pace()
	unread := e.unreadOf(&r.reg)
	if e.readyAt.Before(now) {
		e.readyAt = now
	}
	r.ahead = float64(e.readyAt.Sub(now))/float64(time.Millisecond)/read + float64(unread)
	e.readyAt = e.readyAt.Add(time.Duration(read * float64(unread) * float64(time.Millisecond)))
	e.held.add(r.reg.PromptBlocks)
}

// adopt counts a run that began under a former owner.
func (e *endpoint) adopt(now time.Time, r *run) {
	e.running[r.key] = r
	e.held.add(r.reg.PromptBlocks)
	if r.began {
		return
	}
	if e.unread == 0 {
		e.sentAt = now
	}
	e.unread++
}

// speed returns what is known of the endpoint's speed.
func (e *endpoint) speed() SpeedEstimate {
	return SpeedEstimate{PrefillMsPerToken: float32(e.read.or(0)), EventGapMs: float32(e.gap.or(0)), ResponseMs: float32(e.answer.or(0)), FirstEvents: e.proven}
}

// learnt takes over what another owner has learnt.
func (e *endpoint) learnt(v SpeedEstimate) {
	for _, l := range []struct {
		e *estimate
		v float32
	}{{&e.read, v.PrefillMsPerToken}, {&e.gap, v.EventGapMs}, {&e.answer, v.ResponseMs}} {
		if l.v > 0 {
			l.e.value, l.e.known = float64(l.v), true
		}
	}
	e.proven = max(e.proven, v.FirstEvents)
}

// began learns from the first event of a run.
func (e *endpoint) began(now time.Time, r *run) {
	if r.began {
		return
	}
	r.began = true
	e.unread--
	e.beganAt = now
	e.proven++
	e.failures = 0
	if e.unread == 0 && e.readyAt.After(now) {
		e.readyAt = now
	}
	if !e.service.record.ModelEngine || r.adopted {
		return
	}
	took := float64(now.Sub(r.granted)) / float64(time.Millisecond)
	sample := took / (r.ahead + fixedTokens)
	e.read.learn(sample)
	e.service.read.learn(sample)
}

// end takes a run out and learns from how it ended.
func (e *endpoint) end(now time.Time, r *run, d Done) {
	delete(e.running, r.key)
	if !r.began {
		e.unread--
		if e.unread == 0 && e.readyAt.After(now) {
			e.readyAt = now
		}
	}
	switch d.Outcome {
	case Finished:
		e.failures = 0
		e.finished(now, r, d)
	case Rejected:
		e.pause(now, rejectionPause)
	case Unreachable:
		e.failures++
		e.pause(now, e.failurePause())
	case ConnectionLost, IdleTimeout:
		e.failures++
		if e.failures >= failuresToPause {
			e.pause(now, e.failurePause())
		}
	case Failed:
		e.failures++
	}
	e.judge(now, d.Outcome)
}

// failurePause returns for how long nothing is sent after another failure in a
// row.
func (e *endpoint) failurePause() time.Duration {
	return min(maxPause, failurePause<<min(e.failures-1, 4))
}

// finished learns from a whole answer.
func (e *endpoint) finished(now time.Time, r *run, d Done) {
	e.service.hold.learn(float64(now.Sub(r.granted)) / float64(time.Millisecond))
	if !e.service.record.ModelEngine {
		took := float64(now.Sub(r.granted)) / float64(time.Millisecond)
		e.answer.learn(took)
		e.service.answer.learn(took)
		return
	}
	if d.Events < 2 {
		return
	}
	gap := float64(d.Span) / float64(time.Millisecond) / float64(d.Events-1)
	e.gap.learn(gap)
	e.service.gap.learn(gap)
	if r.reg.MaxOutputTokens > 0 && r.reg.ExpectedOutputTokens == 0 {
		e.service.use.learn(float64(d.Events*max(1, e.service.record.TokensPerEvent)) / float64(r.reg.MaxOutputTokens))
	}
}

// pause keeps requests from the endpoint for a while.
func (e *endpoint) pause(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(e.paused) {
		e.paused = until
	}
}
