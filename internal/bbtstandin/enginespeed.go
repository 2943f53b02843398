package bbtstandin

import "time"

// EngineSpeed is how a model engine performs.
type EngineSpeed struct {
	Slots              int           // requests in the batch when warm
	ColdSlots          int           // requests a cold engine bears
	WarmAfter          int           // answers after which a cold engine is warm
	InitialServed      int           // answers of the first incarnation before the start
	PrefillPerSec      float64       // prompt tokens a second
	TokenInterval      time.Duration // time between two tokens of one answer
	LoadReportInterval time.Duration // age of the published load report
	MaxCachedPrefixes  int           // prompt prefixes the cache holds
}

// DefaultEngineSpeed returns the speed of a small, fast engine.
func DefaultEngineSpeed() EngineSpeed {
	return EngineSpeed{
		Slots:              8,
		ColdSlots:          1,
		WarmAfter:          4,
		PrefillPerSec:      20000,
		TokenInterval:      2 * time.Millisecond,
		LoadReportInterval: 500 * time.Millisecond,
		MaxCachedPrefixes:  64,
	}
}
