package bbtapp

import (
	"runtime/debug"

	"bluebelltray/io/bbtedge"
	"bluebelltray/io/bbtgateway"
	"bluebelltray/io/bbtmetric"
)

const (
	// callerFileDivisor leaves the other descriptors to connections to endpoints, of
	// which a request may need one, and to files.
	callerFileDivisor = 2
	// callerMemoryDivisor leaves the other memory to what a request takes besides its
	// bytes, to garbage, and to the host itself.
	callerMemoryDivisor = 4
	// connMemory is about the memory that a connection takes, with its buffers and
	// goroutines.
	connMemory = 64 << 10
	// memoryLimitPart is the part of the host's memory near which the garbage collector
	// runs more often.
	memoryLimitPart = 0.7
)

// newIntake returns the intake of a host, whose bounds follow from its memory and
// descriptors, and limits the memory of the process.
func newIntake(s bbtedge.Settings, counters *bbtmetric.Counters) *bbtgateway.Intake {
	opts := []bbtgateway.IntakeOption{bbtgateway.WithIntakeCounters(counters)}
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitPart * float64(s.Memory)))
		opts = append(opts, bbtgateway.WithMaxBytes(s.Memory/callerMemoryDivisor))
	}
	conns := int64(s.Files / callerFileDivisor)
	if s.Memory > 0 && (conns == 0 || conns > s.Memory/connMemory) {
		conns = s.Memory / connMemory
	}
	if conns > 0 {
		opts = append(opts, bbtgateway.WithMaxConns(int(conns)))
	}
	return bbtgateway.NewIntake(opts...)
}
