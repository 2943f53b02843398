package bbtlead

import (
	"math/bits"
	"time"
)

// strengthMask is where an incarnation carries its host's strength. The start of
// a process is told to 16 us, which no restart undercuts.
const strengthMask = 1<<4 - 1

// NewIncarnation numbers a process by its start, and carries how much of a
// processor its host has, in cores, 0 if unknown. Of two processes of a host the
// later one has the larger number.
func NewIncarnation(start time.Time, cores float64) uint64 {
	return uint64(start.UnixMicro())&^strengthMask | strength(cores)
}

// strength returns the class of a host's share of a processor; from one class to
// the next it doubles.
func strength(cores float64) uint64 {
	hundredths := max(0, min(cores, 1<<strengthMask)) * 100
	return min(uint64(bits.Len64(uint64(hundredths))), strengthMask)
}
