package bbtapp

import "runtime/debug"

// memoryLimitBytes is just below the process's memory budget of 64 MB.
const memoryLimitBytes = 60 << 20

// LimitMemory sets the Go runtime's soft memory limit to memoryLimitBytes. Near it
// the garbage collector runs more often.
func LimitMemory() { debug.SetMemoryLimit(memoryLimitBytes) }
