package main

import (
	"container/heap"
	"time"
)

// event is a function scheduled at a virtual time.
type event struct {
	at   time.Time
	seq  int // order among events at the same time
	fire func()
}

// clock runs events in order of their virtual times.
type clock struct {
	now       time.Time
	events    []event
	scheduled int
}

// after schedules fire to run after d.
func (c *clock) after(d time.Duration, fire func()) {
	c.scheduled++
	heap.Push(c, event{at: c.now.Add(d), seq: c.scheduled, fire: fire})
}

// advance advances the time by d and runs all events until then.
func (c *clock) advance(d time.Duration) {
	end := c.now.Add(d)
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(c).(event)
		c.now = e.at
		e.fire()
	}
	c.now = end
}

// Len implements heap.Interface.
func (c *clock) Len() int { return len(c.events) }

// Less orders events by time and then in the order they were scheduled.
func (c *clock) Less(i, j int) bool {
	if !c.events[i].at.Equal(c.events[j].at) {
		return c.events[i].at.Before(c.events[j].at)
	}
	return c.events[i].seq < c.events[j].seq
}

// Swap implements heap.Interface.
func (c *clock) Swap(i, j int) { c.events[i], c.events[j] = c.events[j], c.events[i] }

// Push implements heap.Interface.
func (c *clock) Push(e any) { c.events = append(c.events, e.(event)) }

// Pop implements heap.Interface.
func (c *clock) Pop() any {
	last := c.events[len(c.events)-1]
	c.events = c.events[:len(c.events)-1]
	return last
}
