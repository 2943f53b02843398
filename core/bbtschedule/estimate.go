package bbtschedule

// sampleWeight is the weight of a new sample in the moving average.
const sampleWeight = 0.2

// estimate is an exponentially weighted moving average. The zero value has no
// samples.
type estimate struct {
	value float64
	known bool
}

// observe adds a sample.
func (e *estimate) observe(sample float64) { e.observeWith(sample, sampleWeight) }

// observeWith adds a sample with a weight.
func (e *estimate) observeWith(sample, weight float64) {
	if !e.known {
		e.value, e.known = sample, true
		return
	}
	e.value += weight * (sample - e.value)
}

// orDefault returns the estimate, or a default while there are no samples.
func (e *estimate) orDefault(fallback float64) float64 {
	if e.known {
		return e.value
	}
	return fallback
}
