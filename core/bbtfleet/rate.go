package bbtfleet

// Rate is a sustained limit with the burst it allows.
type Rate struct {
	perSecond float64
	burst     float64
}

// NewRate returns a rate of perSecond units a second and a burst in units.
func NewRate(perSecond, burst float64) Rate { return Rate{perSecond: perSecond, burst: burst} }

// PerSecond returns the sustained rate in units a second; zero means no limit.
func (r Rate) PerSecond() float64 { return r.perSecond }

// Burst returns the units that may be spent at once.
func (r Rate) Burst() float64 { return r.burst }
