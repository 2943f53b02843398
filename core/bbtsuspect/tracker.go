package bbtsuspect

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
)

// Tracker knows the requests that this host has in flight and suspects those
// of an endpoint that dies. It is not safe for concurrent use.
type Tracker struct {
	suspicions *Suspects
	inFlight   map[bbtfleet.EndpointID][]Fingerprint
}

// NewTracker returns a tracker that records into s.
func NewTracker(s *Suspects) *Tracker {
	return &Tracker{suspicions: s, inFlight: make(map[bbtfleet.EndpointID][]Fingerprint)}
}

// Begin records a dispatch. It must be called before the first byte leaves.
func (t *Tracker) Begin(ep bbtfleet.EndpointID, f Fingerprint) {
	t.inFlight[ep] = append(t.inFlight[ep], f)
}

// End records that a dispatch ended while its endpoint lived. A whole answer
// of a request that ran alone clears it.
func (t *Tracker) End(ep bbtfleet.EndpointID, f Fingerprint, alone, whole bool) {
	t.remove(ep, f)
	if alone && whole {
		t.suspicions.Clear(f)
	}
}

// remove takes one dispatch off the endpoint.
func (t *Tracker) remove(ep bbtfleet.EndpointID, f Fingerprint) {
	at := slices.Index(t.inFlight[ep], f)
	if at < 0 {
		return
	}
	t.inFlight[ep] = slices.Delete(t.inFlight[ep], at, at+1)
	if len(t.inFlight[ep]) == 0 {
		delete(t.inFlight, ep)
	}
}

// Crashed records that an endpoint died and returns the requests that were in
// flight on it, as notices for the peers and the requests' guards.
func (t *Tracker) Crashed(now time.Time, c Crash) []Notice {
	var out []Notice
	for _, f := range t.inFlight[c.Endpoint] {
		t.suspicions.Add(now, f, c)
		out = append(out, Notice{Fingerprint: f, Crash: c, RemainingMS: SuspectTTL.Milliseconds()})
	}
	delete(t.inFlight, c.Endpoint)
	return out
}
