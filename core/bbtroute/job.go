package bbtroute

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
)

// job is the state of one request between Submit and its end.
type job struct {
	Request
	asked    []bbtfleet.HostID // owners that hold a registration
	refused  []bbtfleet.HostID // owners that shed the request
	dispatch *dispatch         // nil while the request waits
	repeats  int               // dispatches after one of unknown outcome
}

// dispatch is one dispatch under way.
type dispatch struct {
	owner  bbtfleet.HostID
	permit bbtgrant.Permit
	start  time.Time
	first  time.Time // zero before the first token
}

// drop forgets the registration with an owner and reports whether there was
// one.
func (j *job) drop(h bbtfleet.HostID) bool {
	i := slices.Index(j.asked, h)
	if i < 0 {
		return false
	}
	j.asked = slices.Delete(j.asked, i, i+1)
	return true
}
