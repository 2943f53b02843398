package bbtschedule

// sampleWeight is the part of a new sample in an estimate.
const sampleWeight = 0.2

// estimate is a moving mean. The zero value knows nothing.
type estimate struct {
	value float64
	known bool
}

// observe takes a sample in.
func (e *estimate) observe(sample float64) {
	if !e.known {
		e.value, e.known = sample, true
		return
	}
	e.value += sampleWeight * (sample - e.value)
}

// orDefault returns the estimate, orDefault the value to assume while nothing is known.
func (e *estimate) orDefault(assumed float64) float64 {
	if e.known {
		return e.value
	}
	return assumed
}
