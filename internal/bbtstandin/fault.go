package bbtstandin

import (
	"net/http"
	"sync"
	"time"
)

// Fault is how an endpoint stand-in misbehaves.
type Fault struct {
	SlowFactor     float64       `json:"slow"`   // factor on every duration; zero means one
	Silent         bool          `json:"silent"` // answers stop, connections stay open
	Truncate       bool          `json:"cut"`    // answers end before their end mark
	FirstByteDelay time.Duration `json:"late"`   // wait before an answer's first byte, in nanoseconds
	RestartCold    bool          `json:"cold"`   // becomes a new, cold incarnation once
	Poison         string        `json:"poison"` // a request body holding it kills the incarnation
}

// faults holds the fault in force.
type faults struct {
	mu      sync.Mutex
	current Fault
}

// set replaces the fault.
func (f *faults) set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = fault
}

// get returns the fault in force.
func (f *faults) get() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// scale returns d under the fault's slowness.
func (f *faults) scale(d time.Duration) time.Duration {
	if slow := f.get().SlowFactor; slow > 0 {
		return time.Duration(float64(d) * slow)
	}
	return d
}

// before waits as the fault demands before an answer begins and reports
// whether the answer may begin at all.
func (f *faults) before(r *http.Request) bool {
	fault := f.get()
	if fault.Silent {
		<-r.Context().Done()
		return false
	}
	return wait(r, fault.FirstByteDelay)
}

// wait blocks for d and reports whether the request is still wanted.
func wait(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return r.Context().Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
