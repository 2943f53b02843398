package main

import (
	"container/heap"
	"time"
)

// event is something that happens at a virtual time.
type event struct {
	at    time.Time
	order int // among events of one time
	fire  func()
}

// clock runs events in order of their virtual times.
type clock struct {
	now    time.Time
	events []event
	count  int
}

// after plans fire for a time from now.
func (c *clock) after(d time.Duration, fire func()) {
	c.count++
	heap.Push(c, event{at: c.now.Add(d), order: c.count, fire: fire})
}

// advance fires all events up to a time from now.
func (c *clock) advance(d time.Duration) {
	end := c.now.Add(d)
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(c).(event)
		c.now = e.at
		e.fire()
	}
	c.now = end
}

// Len returns the number of planned events.
func (c *clock) Len() int { return len(c.events) }

// Less orders events by time and then in the order they were planned.
func (c *clock) Less(i, j int) bool {
	if !c.events[i].at.Equal(c.events[j].at) {
		return c.events[i].at.Before(c.events[j].at)
	}
	return c.events[i].order < c.events[j].order
}

// Swap swaps two planned events.
func (c *clock) Swap(i, j int) { c.events[i], c.events[j] = c.events[j], c.events[i] }

// Push adds an event.
func (c *clock) Push(e any) { c.events = append(c.events, e.(event)) }

// Pop removes the last event.
func (c *clock) Pop() any {
	last := c.events[len(c.events)-1]
	c.events = c.events[:len(c.events)-1]
	return last
}
