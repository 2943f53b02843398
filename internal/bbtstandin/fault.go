package bbtstandin

import (
	"net/http"
	"sync"
	"time"
)

// Fault configures how an endpoint stand-in misbehaves.
type Fault struct {
	SlowFactor     float64       `json:"slow"`   // factor applied to all durations; zero means one
	Silent         bool          `json:"silent"` // no response is sent, connections stay open
	Truncate       bool          `json:"cut"`    // responses are cut off before their end
	FirstByteDelay time.Duration `json:"late"`   // delay before a response's first byte, in nanoseconds
	RestartCold    bool          `json:"cold"`   // restart once as a new, cold incarnation
	Poison         string        `json:"poison"` // a prompt containing this text crashes the engine
}

// faultInjector applies the active fault to responses.
type faultInjector struct {
	mu      sync.Mutex
	current Fault
}

func (f *faultInjector) setFault(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = fault
}

func (f *faultInjector) activeFault() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// scale returns d multiplied by the fault's slow factor.
func (f *faultInjector) scale(d time.Duration) time.Duration {
	if slow := f.activeFault().SlowFactor; slow > 0 {
		return time.Duration(float64(d) * slow)
	}
	return d
}

// awaitStart applies the fault's delay before a response begins and reports
// whether the response may begin.
func (f *faultInjector) awaitStart(r *http.Request) bool {
	fault := f.activeFault()
	if fault.Silent {
		<-r.Context().Done()
		return false
	}
	return wait(r, fault.FirstByteDelay)
}

// wait blocks for d and reports whether the request's context is still active.
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
