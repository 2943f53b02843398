package bbtowner

import "time"

// Fencer numbers the orders that a host gives to one endpoint. Its zero value
// is ready for use.
type Fencer struct {
	view   View // of the last number
	epoch  uint32
	raised time.Time
}

// Number returns the fencing number of an order that the host gives under the
// view as the endpoint's given rank, or ErrFenceRange.
func (f *Fencer) Number(v View, rank int) (uint64, error) {
	f.view = v
	return NewFence(v, f.epoch, rank).Number()
}

// Outranked takes an endpoint's answer that it knows a larger number, and
// reports whether the host's next number is above it. It is not if the larger
// number is of newer revisions, which the host has to learn first, or if the
// host has raised its epoch in the last StepIn: two ranks that may use an
// endpoint at once do not raise theirs in turn with each order.
func (f *Fencer) Outranked(now time.Time, number uint64) bool {
	other := ParseFence(number)
	if NewFence(f.view, 0, 0).Compare(NewFence(other.view, 0, 0)) < 0 {
		return false
	}
	if !f.raised.IsZero() && now.Sub(f.raised) < TakeoverDelay {
		return false
	}
	f.epoch = max(f.epoch, other.epoch+1)
	f.raised = now
	return true
}
