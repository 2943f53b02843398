package main

import (
	"container/heap"
	"time"
)

// sim runs events in virtual time, ordered by time and then by insertion.
type sim struct {
	now    time.Time
	seq    int
	events eventHeap
}

// event is a function scheduled at a virtual time.
type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

// after schedules f to run after d.
func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now.Add(d), seq: s.seq, run: f})
}

// every schedules f to run immediately and again after each interval of d.
func (s *sim) every(d time.Duration, f func()) {
	s.after(0, func() {
		f()
		s.after(d, func() { s.every(d, f) })
	})
}

// runUntil runs all events before end.
func (s *sim) runUntil(end time.Time) {
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}
