package bbtgrant

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// LoadReport is an endpoint's report of its load at an earlier time.
type LoadReport struct {
	Endpoint    bbtfleet.EndpointID
	Incarnation bbtfleet.Incarnation
	Running     int       // requests in the engine's batch
	Queued      int       // requests in the endpoint's internal queue
	Served      int       // requests finished by this incarnation
	MeasuredAt  time.Time // when the load was measured, on the clock of the owner's host
}
