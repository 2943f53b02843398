package bbtstandin

import "time"

// EngineSpeed describes the performance of a model engine.
type EngineSpeed struct {
	Slots              int           // concurrent requests in the batch when warm
	ColdSlots          int           // concurrent requests that a cold engine is meant for; it restarts when one arrives while twice as many run
	WarmAfter          int           // complete responses after which a cold engine is warm
	InitialServed      int           // responses that the first incarnation counts as served at the start
	PrefillPerSec      float64       // prompt tokens per second
	TokenInterval      time.Duration // time between two tokens of one response
	LoadReportInterval time.Duration // interval at which the published load report is updated
	MaxCachedPrefixes  int           // capacity of the prefix cache
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
