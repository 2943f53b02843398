package bbtapp

import "runtime/debug"

// memoryLimitBytes is the soft memory limit of the Go runtime.
const memoryLimitBytes = 60 << 20

// LimitMemory sets the soft memory limit of the process, near which the garbage
// collector runs more often.
func LimitMemory() { debug.SetMemoryLimit(memoryLimitBytes) }
