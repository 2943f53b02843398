package bbtsuspect

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
)

// Tracker records which requests of this host are in flight on each endpoint,
// and marks them as suspects if the endpoint crashes. It is not safe for
// concurrent use.
type Tracker struct {
	suspects *Suspects
	inFlight map[bbtfleet.EndpointID][]Fingerprint
}

// NewTracker returns a tracker that records suspects in s.
func NewTracker(s *Suspects) *Tracker {
	return &Tracker{suspects: s, inFlight: make(map[bbtfleet.EndpointID][]Fingerprint)}
}

// Begin records a dispatch. It must be called before the first byte is sent to
// the endpoint.
func (t *Tracker) Begin(ep bbtfleet.EndpointID, f Fingerprint) {
	t.inFlight[ep] = append(t.inFlight[ep], f)
}

// End records that a dispatch ended while its endpoint was alive. A request
// that ran isolated and got a complete answer is no longer suspect.
func (t *Tracker) End(ep bbtfleet.EndpointID, f Fingerprint, isolated, complete bool) {
	t.remove(ep, f)
	if isolated && complete {
		t.suspects.Clear(f)
	}
}

// remove removes one dispatch of the request from the endpoint.
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

// Crashed records that an endpoint crashed and returns notices of the requests
// that were in flight on it, for peers and for the coordinators of the requests.
func (t *Tracker) Crashed(now time.Time, c Crash) []Notice {
	var out []Notice
	for _, f := range t.inFlight[c.Endpoint] {
		t.suspects.Add(now, f, c)
		out = append(out, Notice{Fingerprint: f, Crash: c, RemainingMS: SuspectTTL.Milliseconds()})
	}
	delete(t.inFlight, c.Endpoint)
	return out
}
