package bbtgrant

import "bluebelltray/core/bbtfleet"

// endpoint is the owner's state of one owned endpoint.
type endpoint struct {
	record      bbtfleet.Endpoint
	report      LoadReport
	outstanding int // permits that may be running
}

// room returns how many more permits the endpoint can take.
func (e *endpoint) room() int { return e.record.Slots() - e.outstanding }
