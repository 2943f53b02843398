package bbtapp

import "runtime/debug"

// memoryLimitBytes is the soft memory limit of the Go runtime.
const memoryLimitBytes = 60 << 20

// LimitMemory keeps the memory of the process near its budget by setting the
// runtime's soft limit, near which the garbage collector runs more often.
func LimitMemory() { debug.SetMemoryLimit(memoryLimitBytes) }
