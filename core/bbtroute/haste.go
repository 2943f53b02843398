package bbtroute

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

const (
	slowWeight    = 0.05 // of a new sample in the moving average
	minQuickShare = 0.6  // share of quick grants above which other owners are assumed to have capacity
)

// grantSpeed estimates, for each tier of a pool, the share of requests that are
// granted quickly. While that share is high, a request that still waits does so
// because the owners of its prefix are busy and not because the pool lacks
// capacity.
type grantSpeed struct {
	slow [bbtfleet.LowestTier + 1]float64 // moving average of the share of slow grants
}

// learn updates the estimate with the wait of a granted request. A wait of at
// most quick counts as quick.
func (g *grantSpeed) learn(t bbtfleet.Tier, wait, quick time.Duration) {
	sample := 0.0
	if wait > quick {
		sample = 1
	}
	s := &g.slow[min(t, bbtfleet.LowestTier)]
	*s += slowWeight * (sample - *s)
}

// mostlyQuick reports whether requests of the tier are usually granted quickly.
func (g *grantSpeed) mostlyQuick(t bbtfleet.Tier) bool {
	return 1-g.slow[min(t, bbtfleet.LowestTier)] > minQuickShare
}
