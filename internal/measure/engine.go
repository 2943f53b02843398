package main

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
)

const (
	chunkTokens   = 512             // prompt tokens read in one step at most
	prefixEntries = 24              // prefixes an engine's cache holds
	coldBears     = 2               // requests a cold engine bears at first
	coldGrowth    = 2.0             // further requests it bears, each second of work
	coldSlowdown  = 2.0             // how much longer a cold engine's steps take
	restartTime   = 5 * time.Second // from an engine's death to its next run
	servedLong    = 1000            // requests a long-running engine has finished
)

// generation is a generation of hardware, as the times of one step.
type generation struct {
	base    time.Duration // each step
	perSlot time.Duration // each request in the batch
	prefill float64       // prompt tokens a second
	slots   int
}

// engine is a fake model engine. It batches continuously, admits in arrival
// order and knows neither tiers nor deadlines.
type engine struct {
	w           *world
	record      bbtfleet.Endpoint
	gen         generation
	incarnation bbtfleet.Incarnation
	dead        bool
	frozen      bool
	slow        float64 // factor on the times of steps
	cold        bool
	coldSilent  bool          // turned cold without a new incarnation
	coldWork    time.Duration // work done since it turned cold
	batch       []*call
	queue       []*call
	cache       []uint64 // prefixes, the most recently used last
	served      int
	stepping    bool
}

// call is one dispatch as the engine sees it.
type call struct {
	req         *request
	host        *host
	id          bbtgrant.RequestID
	engine      *engine
	incarnation bbtfleet.Incarnation // of the engine
	first       time.Time            // when the host saw the first token
	endless     bool                 // was in the engine when it turned cold
	unread      int                  // prompt tokens
	read        int                  // prompt tokens this dispatch has cost
	made        int                  // tokens generated
	gone        bool
}

// bears returns how many requests the engine can hold without falling over.
func (e *engine) bears() int {
	if !e.cold {
		return e.gen.slots * 8
	}
	return coldBears + int(coldGrowth*e.coldWork.Seconds())
}

// load returns the requests that count against what a cold engine bears.
func (e *engine) load() int {
	n := 0
	for _, c := range slices.Concat(e.batch, e.queue) {
		if !c.endless {
			n++
		}
	}
	return n
}

// accept takes a dispatch and reports false if the engine refuses it.
func (e *engine) accept(c *call) bool {
	if e.dead {
		return false
	}
	c.unread = c.req.prompt
	e.queue = append(e.queue, c)
	if e.frozen {
		e.silent(c)
		return true
	}
	if e.cold && e.load() > e.bears() {
		e.w.score.coldBreach(e)
	}
	if e.cold && e.load() > e.bears()*2 {
		e.die()
		return true
	}
	e.start()
	return true
}

// turnCold makes the engine cold without a new incarnation.
func (e *engine) turnCold() {
	e.cold, e.coldSilent, e.coldWork, e.cache = true, true, 0, nil
	for _, c := range slices.Concat(e.batch, e.queue) {
		c.endless = true
	}
}

// die ends the run of the engine, which starts again cold.
func (e *engine) die() {
	calls := slices.Concat(e.batch, e.queue)
	e.batch, e.queue, e.dead = nil, nil, true
	e.w.score.deaths++
	for _, c := range calls {
		c.gone = true
		e.w.ended(c, bbtgrant.Lost)
	}
	e.w.after(restartTime, func() {
		e.dead, e.frozen, e.served = false, false, 0
		e.incarnation++
		e.turnCold()
		e.coldSilent = false
	})
}

// freeze stops the engine without closing its connections.
func (e *engine) freeze() {
	e.frozen = true
	for _, c := range slices.Concat(e.batch, e.queue) {
		e.silent(c)
	}
}

// thaw lets the engine go on.
func (e *engine) thaw() {
	e.frozen = false
	e.start()
}

// silent lets the host give a call up that makes no progress.
func (e *engine) silent(c *call) {
	e.w.after(silentFor, func() {
		if !c.gone {
			e.cancel(c)
			e.w.ended(c, bbtgrant.Lost)
		}
	})
}

// cancel takes a call out of the engine.
func (e *engine) cancel(c *call) {
	match := func(x *call) bool { return x == c }
	e.batch = slices.DeleteFunc(e.batch, match)
	e.queue = slices.DeleteFunc(e.queue, match)
	c.gone = true
}

func (e *engine) start() {
	if e.stepping || e.dead || e.frozen || len(e.batch)+len(e.queue) == 0 {
		return
	}
	e.stepping = true
	e.admit()
	read, readers := e.plan()
	d := e.gen.base + time.Duration(len(e.batch)-readers)*e.gen.perSlot
	d += time.Duration(float64(read) / e.gen.prefill * float64(time.Second))
	factor := e.slow
	if e.cold {
		factor *= coldSlowdown
	}
	d = time.Duration(float64(d) * factor)
	run := e.incarnation
	e.w.after(d, func() {
		e.stepping = false
		if e.incarnation == run && !e.dead && !e.frozen {
			e.finishStep(d)
		}
		e.start()
	})
}

// admit fills the batch in arrival order and skips cached prefixes.
func (e *engine) admit() {
	for len(e.queue) > 0 && len(e.batch) < e.gen.slots {
		c := e.queue[0]
		e.queue = e.queue[1:]
		if slices.Contains(e.cache, c.req.prefix) {
			c.unread = max(1, c.unread-c.req.prefixTokens)
		}
		e.batch = append(e.batch, c)
	}
}

// plan returns the prompt tokens the next step reads and how many requests
// are still reading.
func (e *engine) plan() (read, readers int) {
	for _, c := range e.batch {
		if c.unread > 0 {
			readers++
			read += c.unread
		}
	}
	return min(read, chunkTokens), readers
}

// finishStep applies one step: prompts are read in order, all others gain a
// token.
func (e *engine) finishStep(d time.Duration) {
	if e.cold {
		e.coldWork += d
		e.cold = e.bears() < e.gen.slots
	}
	left := chunkTokens
	for _, c := range slices.Clone(e.batch) {
		if c.unread > 0 {
			n := min(c.unread, left)
			left -= n
			c.unread -= n
			c.read += n
			e.w.score.prefill(c, n)
			if c.unread > 0 {
				continue
			}
			e.remember(c.req.prefix)
		}
		c.made++
		e.progress(c)
	}
}

// progress tells the entry host of a call's first token and of its end.
func (e *engine) progress(c *call) {
	if c.req.poison {
		e.w.score.crashed(c.req)
		e.die()
		return
	}
	if c.made == 1 {
		e.w.firstToken(c)
	}
	if c.made < c.req.output || c.gone {
		return
	}
	e.cancel(c)
	e.served++
	e.w.ended(c, bbtgrant.Finished)
}

// remember marks a prefix as the most recently used.
func (e *engine) remember(prefix uint64) {
	i := slices.Index(e.cache, prefix)
	if i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
	} else {
		e.w.cacheEvent(bbtgrant.CacheEvent{Endpoint: e.record.ID(), Prefix: prefix})
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > prefixEntries {
		e.w.cacheEvent(bbtgrant.CacheEvent{Endpoint: e.record.ID(), Prefix: e.cache[0], Evicted: true})
		e.cache = slices.Delete(e.cache, 0, 1)
	}
}

// report describes the engine now.
func (e *engine) report() bbtgrant.LoadReport {
	return bbtgrant.LoadReport{
		Endpoint:    e.record.ID(),
		Incarnation: e.incarnation,
		Running:     len(e.batch),
		Queued:      len(e.queue),
		Served:      e.served,
		MeasuredAt:  e.w.now,
	}
}
