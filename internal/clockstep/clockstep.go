// Package clockstep makes times for tests of steps of the time of day.
package clockstep

import (
	"time"
	"unsafe"
)

// monotonicBit is set in the first field of a time.Time that has a monotonic reading.
const monotonicBit = 1 << 63

// Stepped returns a time with a monotonic reading as it is read after the time of day was
// stepped by d, whole seconds: the monotonic reading is the same. It panics if t has none.
func Stepped(t time.Time, d time.Duration) time.Time {
	// With a monotonic reading, the first field of time.Time holds the seconds of the
	// time of day above 30 bits of nanoseconds.
	wall := (*uint64)(unsafe.Pointer(&t))
	if *wall&monotonicBit == 0 {
		panic("clockstep: time without a monotonic reading")
	}
	*wall += uint64(int64(d/time.Second)) << 30
	return t
}
