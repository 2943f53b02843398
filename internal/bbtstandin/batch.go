package bbtstandin

import (
	"context"
	"sync"
)

// EngineCounts holds an engine's counters over all its incarnations.
type EngineCounts struct {
	Started            int `json:"started"`
	Finished           int `json:"finished"`
	Restarts           int `json:"restarts"` // without those caused by overload
	OverloadRestarts   int `json:"fell-over"`
	MaxColdConcurrency int `json:"max-cold"` // highest number of concurrent requests while cold
}

// batch assigns an engine's slots to requests in arrival order. A cold engine
// that is given too many concurrent requests fails and restarts.
type batch struct {
	speed EngineSpeed

	mu          sync.Mutex
	incarnation uint64
	served      int
	running     int
	waiting     []chan bool
	count       EngineCounts
}

// newBatch returns an empty batch. The engine counts as having served
// speed.InitialServed requests.
func newBatch(speed EngineSpeed, incarnation uint64) *batch {
	return &batch{speed: speed, incarnation: incarnation, served: speed.InitialServed}
}

func (b *batch) currentIncarnation() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.incarnation
}

// cold reports whether the engine is cold. The caller holds mu.
func (b *batch) cold() bool { return b.served < b.speed.WarmAfter }

// acquire waits for a slot and returns the incarnation that it belongs to. It reports
// false if the engine restarts or ctx ends first.
func (b *batch) acquire(ctx context.Context) (uint64, bool) {
	slot, inc := b.enqueue()
	if slot == nil {
		return 0, false
	}
	select {
	case ok := <-slot:
		return inc, ok
	case <-ctx.Done():
		b.cancel(slot, inc)
		return 0, false
	}
}

// enqueue assigns a slot or appends to the queue. It returns nil if the
// request overloads a cold engine, which then restarts.
func (b *batch) enqueue() (chan bool, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	slot := make(chan bool, 1)
	if b.cold() {
		b.count.MaxColdConcurrency = max(b.count.MaxColdConcurrency, b.running+1)
		if b.running >= b.speed.ColdSlots*2 {
			b.count.OverloadRestarts++
			b.reset()
			return nil, 0
		}
	}
	if b.running < b.speed.Slots {
		b.assignSlot(slot)
	} else {
		b.waiting = append(b.waiting, slot)
	}
	return slot, b.incarnation
}

// assignSlot assigns a slot to a waiting request. The caller holds mu.
func (b *batch) assignSlot(slot chan bool) {
	b.running++
	b.count.Started++
	slot <- true
}

// cancel removes a request from the queue, or releases its slot if it already has one.
func (b *batch) cancel(slot chan bool, inc uint64) {
	b.mu.Lock()
	for i, other := range b.waiting {
		if other == slot {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			b.mu.Unlock()
			return
		}
	}
	b.mu.Unlock()
	if <-slot {
		b.release(inc)
	}
}

// release frees a slot of the given incarnation.
func (b *batch) release(inc uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if inc != b.incarnation {
		return
	}
	b.running--
	if len(b.waiting) > 0 {
		slot := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.assignSlot(slot)
	}
}

// countFinished counts a complete response.
func (b *batch) countFinished(inc uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if inc == b.incarnation {
		b.served++
	}
	b.count.Finished++
}

// restart simulates a crash of the engine and counts it.
func (b *batch) restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count.Restarts++
	b.reset()
}

// reset starts a new, cold incarnation and drops all requests. The caller holds mu.
func (b *batch) reset() {
	b.incarnation++
	b.served, b.running = 0, 0
	for _, slot := range b.waiting {
		slot <- false
	}
	b.waiting = nil
}

func (b *batch) load() LoadRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	return LoadRecord{
		Incarnation: b.incarnation,
		Running:     b.running,
		Waiting:     len(b.waiting),
		Slots:       b.speed.Slots,
		Served:      b.served,
	}
}

func (b *batch) counts() EngineCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.count
}
