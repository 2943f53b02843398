package bbtapp

import "runtime/debug"

// memoryLimit is the memory in bytes above which the collector works harder.
const memoryLimit = 60 << 20

// LimitMemory keeps the process's memory near its budget.
func LimitMemory() { debug.SetMemoryLimit(memoryLimit) }
