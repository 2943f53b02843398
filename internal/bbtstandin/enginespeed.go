package bbtstandin

import "time"

// EngineSpeed is how a model engine performs.
type EngineSpeed struct {
	Slots          int           // requests in the batch when warm
	ColdSlots      int           // requests a cold engine bears
	WarmAfter      int           // answers after which a cold engine is warm
	Served         int           // answers of the first incarnation before the start
	PrefillPerSec  float64       // prompt tokens a second
	BetweenTokens  time.Duration // time between two tokens of one answer
	LoadLag        time.Duration // age of the published load report
	CachedPrefixes int           // prompt prefixes the cache holds
}

// DefaultEngineSpeed returns the speed of a small, fast engine.
func DefaultEngineSpeed() EngineSpeed {
	return EngineSpeed{
		Slots:          8,
		ColdSlots:      1,
		WarmAfter:      4,
		PrefillPerSec:  20000,
		BetweenTokens:  2 * time.Millisecond,
		LoadLag:        500 * time.Millisecond,
		CachedPrefixes: 64,
	}
}
