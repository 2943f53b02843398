package bbtgrant

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// LoadReport is what an endpoint says about itself. It describes the past.
type LoadReport struct {
	Endpoint    bbtfleet.EndpointID
	Incarnation bbtfleet.Incarnation
	Running     int       // requests in the batch
	Queued      int       // requests in the endpoint's own queue
	Served      int       // requests this run of the endpoint has finished
	MeasuredAt  time.Time // when the endpoint took the figures, on the reader's clock
}
