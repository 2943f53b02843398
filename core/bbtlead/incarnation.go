package bbtlead

import (
	"math/bits"
	"time"
)

// cpuClassMask selects the bits of an incarnation that hold its host's CPU class.
// The remaining bits give the start time in steps of 16 us; restarts are always
// further apart.
const cpuClassMask = 1<<4 - 1

// NewIncarnation encodes a process's start time and its host's CPU share in cores,
// 0 if unknown. Of two processes on a host, the later one has the larger number.
func NewIncarnation(start time.Time, cores float64) uint64 {
	return uint64(start.UnixMicro())&^cpuClassMask | cpuClass(cores)
}

// cpuClass returns the class of a host's CPU share. The share doubles from one
// class to the next.
func cpuClass(cores float64) uint64 {
	hundredths := max(0, min(cores, 1<<cpuClassMask)) * 100
	return min(uint64(bits.Len64(uint64(hundredths))), cpuClassMask)
}
