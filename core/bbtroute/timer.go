package bbtroute

import (
	"container/heap"
	"time"

	"bluebelltray/core/bbtgrant"
)

// timers holds the times at which Tick must check a job.
type timers struct {
	heap timerHeap
}

type timer struct {
	at time.Time
	id bbtgrant.RequestID
}

func (t *timers) set(at time.Time, id bbtgrant.RequestID) { heap.Push(&t.heap, timer{at: at, id: id}) }

// popDue removes a timer that has expired and returns its request's ID.
func (t *timers) popDue(now time.Time) (bbtgrant.RequestID, bool) {
	if len(t.heap) == 0 || now.Before(t.heap[0].at) {
		return 0, false
	}
	return heap.Pop(&t.heap).(timer).id, true
}

// next returns the time of the first timer, or the zero time if there is none.
// It drops timers for which stale returns true.
func (t *timers) next(stale func(bbtgrant.RequestID) bool) time.Time {
	for len(t.heap) > 0 {
		if !stale(t.heap[0].id) {
			return t.heap[0].at
		}
		heap.Pop(&t.heap)
	}
	return time.Time{}
}

// timerHeap is a heap.Interface ordered by time, then by request.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].id < h[j].id
	}
	return h[i].at.Before(h[j].at)
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	*h = (*h)[:last]
	return t
}
