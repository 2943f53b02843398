package bbtschedule

import (
	"math"
	"time"
)

// maxUnits bounds one count, so that a broken message cannot make a sum
// infinite.
const maxUnits = 1e12

// clampUnits returns a count within its bounds, 0 for one that is no number.
func clampUnits(n float64) float64 {
	if math.IsNaN(n) {
		return 0
	}
	return max(-maxUnits, min(n, maxUnits))
}

// windowSteps is in how many parts a window of time is counted. One more is
// counted in, so that the window is never cut short.
const windowSteps = 16

// Meter counts use over a sliding window. The zero value has counted nothing.
type Meter struct {
	window time.Duration
	step   int64
	counts [windowSteps + 1]float64
}

// NewMeter returns a meter of a window that has counted nothing.
func NewMeter(window time.Duration) *Meter { return &Meter{window: max(window, time.Millisecond)} }

// stepLength returns the stepLength of one step.
func (m *Meter) stepLength() time.Duration { return max(m.window/windowSteps, time.Microsecond) }

// advance begins the step of now.
func (m *Meter) advance(now time.Time) {
	step := now.UnixNano() / int64(m.stepLength())
	for n := max(m.step+1, step-windowSteps); n <= step; n++ {
		m.counts[n%int64(len(m.counts))] = 0
	}
	m.step = max(m.step, step)
}

// Add counts use that happened some time ago.
func (m *Meter) Add(now time.Time, ago time.Duration, n float64) {
	m.advance(now)
	back := int64(max(ago, 0) / m.stepLength())
	if back > windowSteps {
		return
	}
	i := (m.step - back) % int64(len(m.counts))
	m.counts[i] = max(0, m.counts[i]+clampUnits(n))
}

// Sum returns the use of the window up to now.
func (m *Meter) Sum(now time.Time) float64 {
	m.advance(now)
	sum := 0.0
	for _, p := range m.counts {
		sum += p
	}
	return sum
}

// ForEach calls f for each part of the window, the oldest first, with its age.
func (m *Meter) ForEach(now time.Time, f func(ago time.Duration, n float64)) {
	m.advance(now)
	for back := int64(windowSteps); back >= 0; back-- {
		f(time.Duration(back)*m.stepLength(), m.counts[(m.step-back)%int64(len(m.counts))])
	}
}

// ForEachNonZero calls f for each part of the window that counted anything, with its age.
func (m *Meter) ForEachNonZero(now time.Time, f func(ago time.Duration, n float64)) {
	m.ForEach(now, func(ago time.Duration, n float64) {
		if n > 0 {
			f(ago, n)
		}
	})
}
