package main

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
)

const (
	prefillChunkTokens    = 512             // maximum prompt tokens processed in one step
	prefixCacheEntries    = 24              // capacity of an engine's prefix cache
	coldInitialCapacity   = 2               // requests that an engine handles right after a cold start
	coldCapacityPerSecond = 2.0             // additional requests for each second of work
	coldSlowdown          = 2.0             // factor on the step times of a cold engine
	restartTime           = 5 * time.Second // from an engine's crash to its restart
	initialServed         = 1000            // requests finished by each engine before the run, enough to count as warm
)

// generation is a hardware generation, described by the cost of one step.
type generation struct {
	base        time.Duration // fixed cost of a step
	perSlot     time.Duration // added for each request of the batch that is past prefill
	prefillRate float64       // prompt tokens per second
	slots       int
}

// engine simulates a model engine with continuous batching. It admits requests in
// arrival order and ignores tiers and deadlines.
type engine struct {
	w               *world
	record          bbtfleet.Endpoint
	gen             generation
	incarnation     bbtfleet.Incarnation
	dead            bool
	frozen          bool
	slowdown        float64 // factor on step times
	cold            bool
	coldUnannounced bool          // became cold without a new incarnation
	workSinceCold   time.Duration // step time accumulated since the engine became cold
	batch           []*call
	queue           []*call
	prefixCache     []uint64 // cached prefixes, most recently used last
	served          int      // requests finished in this incarnation
	stepping        bool
}

// call is one dispatch to an engine.
type call struct {
	req             *request
	host            *host
	id              bbtgrant.RequestID
	engine          *engine
	incarnation     bbtfleet.Incarnation // of the engine at dispatch
	firstTokenAt    time.Time            // when the host received the first token
	beforeCold      bool                 // was queued or running when the engine became cold
	promptLeft      int                  // prompt tokens not yet processed
	promptProcessed int                  // prompt tokens processed for this dispatch
	generated       int                  // output tokens generated
	ended           bool
}

// capacity returns how many requests the engine can hold without overload. Its
// callers use it only while the engine is cold.
func (e *engine) capacity() int {
	if !e.cold {
		return e.gen.slots * 8
	}
	return coldInitialCapacity + int(coldCapacityPerSecond*e.workSinceCold.Seconds())
}

// load returns the number of requests that count against the capacity of a cold
// engine: those that arrived since it became cold.
func (e *engine) load() int {
	n := 0
	for _, c := range slices.Concat(e.batch, e.queue) {
		if !c.beforeCold {
			n++
		}
	}
	return n
}

// accept enqueues a dispatch and reports whether the engine accepted it.
func (e *engine) accept(c *call) bool {
	if e.dead {
		return false
	}
	c.promptLeft = c.req.prompt
	e.queue = append(e.queue, c)
	if e.frozen {
		e.armStallTimeout(c)
		return true
	}
	if e.cold && e.load() > e.capacity() {
		e.w.score.coldOverload(e)
	}
	if e.cold && e.load() > e.capacity()*2 {
		e.crash()
		return true
	}
	e.startStep()
	return true
}

// turnCold makes the engine cold without changing its incarnation and marks this as
// unannounced; callers that restart the engine clear the mark.
func (e *engine) turnCold() {
	e.cold, e.coldUnannounced, e.workSinceCold, e.prefixCache = true, true, 0, nil
	for _, c := range slices.Concat(e.batch, e.queue) {
		c.beforeCold = true
	}
}

// crash ends all calls and restarts the engine cold after restartTime.
func (e *engine) crash() {
	calls := slices.Concat(e.batch, e.queue)
	e.batch, e.queue, e.dead = nil, nil, true
	e.w.score.engineCrashes++
	for _, c := range calls {
		c.ended = true
		e.w.callEnded(c, bbtgrant.Lost)
	}
	e.w.after(restartTime, func() {
		e.dead, e.frozen, e.served = false, false, 0
		e.incarnation++
		e.turnCold()
		e.coldUnannounced = false
	})
}

// freeze halts processing but keeps connections open.
func (e *engine) freeze() {
	e.frozen = true
	for _, c := range slices.Concat(e.batch, e.queue) {
		e.armStallTimeout(c)
	}
}

// unfreeze resumes processing after freeze.
func (e *engine) unfreeze() {
	e.frozen = false
	e.startStep()
}

// armStallTimeout makes the host give up the call after stallTimeout unless it has
// ended by then.
func (e *engine) armStallTimeout(c *call) {
	e.w.after(stallTimeout, func() {
		if !c.ended {
			e.cancel(c)
			e.w.callEnded(c, bbtgrant.Lost)
		}
	})
}

// cancel removes a call from the batch and the queue.
func (e *engine) cancel(c *call) {
	match := func(x *call) bool { return x == c }
	e.batch = slices.DeleteFunc(e.batch, match)
	e.queue = slices.DeleteFunc(e.queue, match)
	c.ended = true
}

// startStep starts the next step unless one is in progress or there is no work.
func (e *engine) startStep() {
	if e.stepping || e.dead || e.frozen || len(e.batch)+len(e.queue) == 0 {
		return
	}
	e.stepping = true
	e.admit()
	promptTokens, prefilling := e.planStep()
	d := e.gen.base + time.Duration(len(e.batch)-prefilling)*e.gen.perSlot
	d += time.Duration(float64(promptTokens) / e.gen.prefillRate * float64(time.Second))
	factor := e.slowdown
	if e.cold {
		factor *= coldSlowdown
	}
	d = time.Duration(float64(d) * factor)
	incarnation := e.incarnation
	e.w.after(d, func() {
		e.stepping = false
		if e.incarnation == incarnation && !e.dead && !e.frozen {
			e.finishStep(d)
		}
		e.startStep()
	})
}

// admit fills the batch in arrival order. Tokens of cached prefixes need no
// processing.
func (e *engine) admit() {
	for len(e.queue) > 0 && len(e.batch) < e.gen.slots {
		c := e.queue[0]
		e.queue = e.queue[1:]
		if slices.Contains(e.prefixCache, c.req.prefix) {
			c.promptLeft = max(1, c.promptLeft-c.req.prefixTokens)
		}
		e.batch = append(e.batch, c)
	}
}

// planStep returns the number of prompt tokens that the next step processes and
// the number of requests in prefill.
func (e *engine) planStep() (promptTokens, prefilling int) {
	for _, c := range e.batch {
		if c.promptLeft > 0 {
			prefilling++
			promptTokens += c.promptLeft
		}
	}
	return min(promptTokens, prefillChunkTokens), prefilling
}

// finishStep applies one step: it spends the chunk of prefill tokens on requests
// in batch order and generates a token for each request past prefill.
func (e *engine) finishStep(d time.Duration) {
	if e.cold {
		e.workSinceCold += d
		e.cold = e.capacity() < e.gen.slots
	}
	remaining := prefillChunkTokens
	for _, c := range slices.Clone(e.batch) {
		if c.promptLeft > 0 {
			n := min(c.promptLeft, remaining)
			remaining -= n
			c.promptLeft -= n
			c.promptProcessed += n
			e.w.score.prefill(c, n)
			if c.promptLeft > 0 {
				continue
			}
			e.cachePrefix(c.req.prefix)
		}
		c.generated++
		e.reportProgress(c)
	}
}

// reportProgress notifies the entry host of a call's first token and of its end. The
// engine crashes instead if the request is poison.
func (e *engine) reportProgress(c *call) {
	if c.req.poison {
		e.w.score.crashed(c.req)
		e.crash()
		return
	}
	if c.generated == 1 {
		e.w.firstToken(c)
	}
	if c.generated < c.req.output || c.ended {
		return
	}
	e.cancel(c)
	e.served++
	e.w.callEnded(c, bbtgrant.Finished)
}

// cachePrefix marks a prefix as most recently used and evicts the least recently
// used one when the cache is full.
func (e *engine) cachePrefix(prefix uint64) {
	i := slices.Index(e.prefixCache, prefix)
	if i >= 0 {
		e.prefixCache = slices.Delete(e.prefixCache, i, i+1)
	} else {
		e.w.cacheEvent(bbtgrant.CacheEvent{Endpoint: e.record.ID(), Prefix: prefix})
	}
	e.prefixCache = append(e.prefixCache, prefix)
	if len(e.prefixCache) > prefixCacheEntries {
		e.w.cacheEvent(bbtgrant.CacheEvent{Endpoint: e.record.ID(), Prefix: e.prefixCache[0], Evicted: true})
		e.prefixCache = slices.Delete(e.prefixCache, 0, 1)
	}
}

func (e *engine) loadReport() bbtgrant.LoadReport {
	return bbtgrant.LoadReport{
		Endpoint:    e.record.ID(),
		Incarnation: e.incarnation,
		Running:     len(e.batch),
		Queued:      len(e.queue),
		Served:      e.served,
		MeasuredAt:  e.w.now,
	}
}
