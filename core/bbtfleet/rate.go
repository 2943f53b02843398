package bbtfleet

// Rate is a rate limit with a burst, as of a token bucket.
type Rate struct {
	perSecond float64
	burst     float64
}

// NewRate returns a limit of perSecond units a second with a burst of burst
// units.
func NewRate(perSecond, burst float64) Rate { return Rate{perSecond: perSecond, burst: burst} }

// PerSecond returns the sustained rate in units a second; zero means no limit.
func (r Rate) PerSecond() float64 { return r.perSecond }

// Burst returns the number of units that may be used at once.
func (r Rate) Burst() float64 { return r.burst }
