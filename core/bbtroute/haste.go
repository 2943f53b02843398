package bbtroute

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

const (
	slowWeight    = 0.05
	minQuickShare = 0.6 // share of quick grants that shows room elsewhere
)

// grantSpeed learns, for each tier of a pool, the share of requests that were
// granted quickly. While others are, a request that waits does so for its
// prefix's owners and not for want of room.
type grantSpeed struct {
	slow [bbtfleet.LowestTier + 1]float64 // share of grants that were not quick
}

// learn takes the wait of a granted request in.
func (h *grantSpeed) learn(t bbtfleet.Tier, wait, quick time.Duration) {
	sample := 0.0
	if wait > quick {
		sample = 1
	}
	s := &h.slow[min(t, bbtfleet.LowestTier)]
	*s += slowWeight * (sample - *s)
}

// hasRoom reports whether requests of the tier find room quickly elsewhere.
func (h *grantSpeed) hasRoom(t bbtfleet.Tier) bool {
	return 1-h.slow[min(t, bbtfleet.LowestTier)] > minQuickShare
}
