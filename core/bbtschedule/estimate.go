package bbtschedule

// estimateWeight is the part of a new sample in an estimate.
const estimateWeight = 0.2

// estimate is a moving mean. The zero value knows nothing.
type estimate struct {
	value float64
	known bool
}

// learn takes a sample in.
func (e *estimate) learn(sample float64) {
	if !e.known {
		e.value, e.known = sample, true
		return
	}
	e.value += estimateWeight * (sample - e.value)
}

// or returns the estimate, or the value to assume while nothing is known.
func (e *estimate) or(assumed float64) float64 {
	if e.known {
		return e.value
	}
	return assumed
}
