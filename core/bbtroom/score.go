package bbtroom

import (
	"slices"
	"time"
)

// scoreTolerance is the error up to which a forecast counts as right, unless half of
// the forecast is more.
const scoreTolerance = 50 * time.Millisecond

// Score compares forecasts with what became of them, by tier. The zero value is
// empty.
type Score struct{ tiers []TierScore }

// TierScore is the score of one tier. Its fields are exported for status pages.
type TierScore struct {
	Tier    int     `json:"tier"`
	Served  int64   `json:"served"`    // requests that waited and got a slot
	Late    int64   `json:"late"`      // of these, those that waited for longer than told
	Broken  int64   `json:"broken"`    // requests that were let in and refused after a wait
	Refused int64   `json:"refused"`   // requests that were refused on arrival
	ToldMs  float64 `json:"told-ms"`   // mean forecast of those served
	HadMs   float64 `json:"waited-ms"` // their mean wait
}

func (s *Score) of(tier int) *TierScore {
	i := slices.IndexFunc(s.tiers, func(t TierScore) bool { return t.Tier == tier })
	if i < 0 {
		i = len(s.tiers)
		s.tiers = append(s.tiers, TierScore{Tier: tier})
	}
	return &s.tiers[i]
}

// Served records a request that got a slot after a wait.
func (s *Score) Served(tier int, told, had time.Duration) {
	t := s.of(tier)
	t.Served++
	if had > told+max(scoreTolerance, told/2) {
		t.Late++
	}
	n := float64(t.Served)
	t.ToldMs += (float64(told)/float64(time.Millisecond) - t.ToldMs) / n
	t.HadMs += (float64(had)/float64(time.Millisecond) - t.HadMs) / n
}

// Broken records a request that was refused after it had been let in.
func (s *Score) Broken(tier int) { s.of(tier).Broken++ }

// Refused records a request that was refused on arrival.
func (s *Score) Refused(tier int) { s.of(tier).Refused++ }

// Tiers returns the scores in the order of their tiers.
func (s *Score) Tiers() []TierScore {
	out := slices.Clone(s.tiers)
	slices.SortFunc(out, func(a, b TierScore) int { return a.Tier - b.Tier })
	return out
}
