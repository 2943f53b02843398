package bbtstandin

import (
	"context"
	"sync"
)

// EngineCounts is what an engine did in all its incarnations.
type EngineCounts struct {
	Started            int `json:"started"`
	Finished           int `json:"finished"`
	Restarts           int `json:"restarts"`
	OverloadRestarts   int `json:"fell-over"`
	MaxColdConcurrency int `json:"max-cold"` // most requests at once while cold
}

// batch admits requests to an engine's slots in arrival order. A cold engine
// that is given more than it bears falls over and starts again.
type batch struct {
	speed EngineSpeed

	mu          sync.Mutex
	incarnation uint64
	answers     int
	running     int
	waiting     []chan bool
	count       EngineCounts
}

// newBatch returns an empty batch of an engine that has served as speed says.
func newBatch(speed EngineSpeed, incarnation uint64) *batch {
	return &batch{speed: speed, incarnation: incarnation, answers: speed.InitialServed}
}

// current returns the engine's incarnation.
func (b *batch) current() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.incarnation
}

// cold reports whether the engine is cold. The caller holds mu.
func (b *batch) cold() bool { return b.answers < b.speed.WarmAfter }

// enter waits for a slot and returns the incarnation it belongs to. It reports
// false if the engine restarts or ctx ends first.
func (b *batch) enter(ctx context.Context) (uint64, bool) {
	slot, life := b.join()
	if slot == nil {
		return 0, false
	}
	select {
	case ok := <-slot:
		return life, ok
	case <-ctx.Done():
		b.abandon(slot, life)
		return 0, false
	}
}

// join takes a slot or a place in the queue; nil says the engine fell over.
func (b *batch) join() (chan bool, uint64) {
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
		b.start(slot)
	} else {
		b.waiting = append(b.waiting, slot)
	}
	return slot, b.incarnation
}

// start gives a slot away. The caller holds mu.
func (b *batch) start(slot chan bool) {
	b.running++
	b.count.Started++
	slot <- true
}

// abandon gives up a place in the queue, or the slot if it was already given.
func (b *batch) abandon(slot chan bool, life uint64) {
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
		b.leave(life)
	}
}

// leave frees a slot of the given incarnation.
func (b *batch) leave(life uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if life != b.incarnation {
		return
	}
	b.running--
	if len(b.waiting) > 0 {
		slot := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.start(slot)
	}
}

// finished counts a whole answer.
func (b *batch) finished(life uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if life == b.incarnation {
		b.answers++
	}
	b.count.Finished++
}

// restart begins a new, cold incarnation and drops all requests.
func (b *batch) restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count.Restarts++
	b.reset()
}

// reset empties the batch. The caller holds mu.
func (b *batch) reset() {
	b.incarnation++
	b.answers, b.running = 0, 0
	for _, slot := range b.waiting {
		slot <- false
	}
	b.waiting = nil
}

// load returns the present load.
func (b *batch) load() LoadRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	return LoadRecord{
		Incarnation: b.incarnation,
		Running:     b.running,
		Waiting:     len(b.waiting),
		Slots:       b.speed.Slots,
		Served:      b.answers,
	}
}

// counts returns what the engine did so far.
func (b *batch) counts() EngineCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.count
}
