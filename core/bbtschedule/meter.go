package bbtschedule

import (
	"math"
	"time"
)

// mostUnits bounds one count, so that a broken message cannot make a sum
// infinite.
const mostUnits = 1e12

// units returns a count within its bounds, 0 for one that is no number.
func units(n float64) float64 {
	if math.IsNaN(n) {
		return 0
	}
	return max(-mostUnits, min(n, mostUnits))
}

// meterSteps is in how many parts a window of time is counted. One more is
// counted in, so that the window is never cut short.
const meterSteps = 16

// Meter counts use over a sliding window. The zero value has counted nothing.
type Meter struct {
	window time.Duration
	step   int64
	parts  [meterSteps + 1]float64
}

// NewMeter returns a meter of a window that has counted nothing.
func NewMeter(window time.Duration) *Meter { return &Meter{window: max(window, time.Millisecond)} }

// length returns the length of one step.
func (m *Meter) length() time.Duration { return max(m.window/meterSteps, time.Microsecond) }

// advance begins the step of now.
func (m *Meter) advance(now time.Time) {
	step := now.UnixNano() / int64(m.length())
	for n := max(m.step+1, step-meterSteps); n <= step; n++ {
		m.parts[n%int64(len(m.parts))] = 0
	}
	m.step = max(m.step, step)
}

// Add counts use that happened some time ago.
func (m *Meter) Add(now time.Time, ago time.Duration, n float64) {
	m.advance(now)
	back := int64(max(ago, 0) / m.length())
	if back > meterSteps {
		return
	}
	i := (m.step - back) % int64(len(m.parts))
	m.parts[i] = max(0, m.parts[i]+units(n))
}

// Sum returns the use of the window up to now.
func (m *Meter) Sum(now time.Time) float64 {
	m.advance(now)
	sum := 0.0
	for _, p := range m.parts {
		sum += p
	}
	return sum
}

// ForEach calls f for each part of the window, the oldest first, with its age.
func (m *Meter) ForEach(now time.Time, f func(ago time.Duration, n float64)) {
	m.advance(now)
	for back := int64(meterSteps); back >= 0; back-- {
		f(time.Duration(back)*m.length(), m.parts[(m.step-back)%int64(len(m.parts))])
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
