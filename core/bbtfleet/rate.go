package bbtfleet

// Rate is the limit of a token bucket: a sustained rate and a burst.
type Rate struct {
	perSecond float64
	burst     float64
}

// NewRate returns a limit with the given sustained rate, in units a second, and
// the given burst, in units.
func NewRate(perSecond, burst float64) Rate { return Rate{perSecond: perSecond, burst: burst} }

// PerSecond returns the sustained rate in units a second; zero means no limit.
func (r Rate) PerSecond() float64 { return r.perSecond }

// Burst returns the number of units that may be used at once.
func (r Rate) Burst() float64 { return r.burst }
