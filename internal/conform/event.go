// Package conform states the invariants of the models in spec/ as functions
// over traces, so that the Go code can be driven against them.
package conform

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// Event is one step of a trace.
type Event interface{ event() }

// Permitted says that an owner granted a permit that is not used before its
// expiry.
type Permitted struct {
	Owner  bbtfleet.HostID
	At     time.Time
	Expiry time.Time
}

// Dispatched says that a request was dispatched under a permit.
type Dispatched struct {
	Endpoint bbtfleet.EndpointID
	At       time.Time
	Expiry   time.Time
}

// TakenOut says that operators took an endpoint out of service.
type TakenOut struct {
	Endpoint bbtfleet.EndpointID
	At       time.Time
}

// BroughtBack says that operators brought an endpoint back.
type BroughtBack struct{ Endpoint bbtfleet.EndpointID }

// OrderAccepted says that an endpoint that checks fencing tokens accepted an
// order.
type OrderAccepted struct {
	Owner bbtfleet.HostID
	Token uint64
	Sent  time.Time
	Began time.Time // when the owner began to have the right it used
}

func (Permitted) event()     {}
func (Dispatched) event()    {}
func (TakenOut) event()      {}
func (BroughtBack) event()   {}
func (OrderAccepted) event() {}
