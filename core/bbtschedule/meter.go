package bbtschedule

import (
	"math"
	"time"
)

// maxUnits bounds a single count, so that a malformed message cannot make a sum
// infinite.
const maxUnits = 1e12

// clampUnits limits a count to the range from -maxUnits to maxUnits; NaN becomes
// 0.
func clampUnits(n float64) float64 {
	if math.IsNaN(n) {
		return 0
	}
	return max(-maxUnits, min(n, maxUnits))
}

// windowSteps is the number of steps that a window is divided into. One more
// step is counted, so that the counted time is never shorter than the window.
const windowSteps = 16

// Meter counts usage over a sliding window. The zero value is empty. Times are compared
// by their monotonic clock readings, so steps of the time of day have no effect.
type Meter struct {
	window time.Duration
	origin time.Time                // start of step 0, more than a window before the first use
	step   int64                    // latest step
	counts [windowSteps + 1]float64 // usage by step, at the step's number modulo the length
}

// NewMeter returns an empty meter for a window.
func NewMeter(window time.Duration) *Meter { return &Meter{window: max(window, time.Millisecond)} }

// stepLength returns the duration of one step.
func (m *Meter) stepLength() time.Duration { return max(m.window/windowSteps, time.Microsecond) }

// stepOf returns the step that contains a time; 0 for one before the origin.
func (m *Meter) stepOf(t time.Time) int64 {
	return int64(max(0, t.Sub(m.origin)) / m.stepLength())
}

// advance moves the window to now and clears the steps that it enters.
func (m *Meter) advance(now time.Time) {
	if m.origin.IsZero() {
		m.origin = now.Add(-2 * windowSteps * m.stepLength())
	}
	step := m.stepOf(now)
	for n := max(m.step+1, step-windowSteps); n <= step; n++ {
		m.counts[n%int64(len(m.counts))] = 0
	}
	m.step = max(m.step, step)
}

// Add counts usage of a given age. Usage older than the window is ignored, and
// no step falls below zero. A negative amount reverses one that was added at its time.
func (m *Meter) Add(now time.Time, age time.Duration, n float64) {
	m.advance(now)
	back := m.step - m.stepOf(now.Add(-max(age, 0)))
	if back > windowSteps {
		return
	}
	i := (m.step - back) % int64(len(m.counts))
	m.counts[i] = max(0, m.counts[i]+clampUnits(n))
}

// Sum returns the usage within the window that ends now.
func (m *Meter) Sum(now time.Time) float64 {
	m.advance(now)
	sum := 0.0
	for _, n := range m.counts {
		sum += n
	}
	return sum
}

// ForEach calls f for each step of the window with its age, the oldest first.
func (m *Meter) ForEach(now time.Time, f func(age time.Duration, n float64)) {
	m.advance(now)
	for back := int64(windowSteps); back >= 0; back-- {
		f(time.Duration(back)*m.stepLength(), m.counts[(m.step-back)%int64(len(m.counts))])
	}
}

// ForEachNonZero calls f for each step with usage, with its age, the oldest
// first.
func (m *Meter) ForEachNonZero(now time.Time, f func(age time.Duration, n float64)) {
	m.ForEach(now, func(age time.Duration, n float64) {
		if n > 0 {
			f(age, n)
		}
	})
}
