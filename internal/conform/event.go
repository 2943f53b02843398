// Package conform states the invariants of the models in spec/ as functions
// over traces, so that the Go code can be driven against them.
package conform

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// Event is one step of a trace.
type Event interface{ event() }

// PermitGranted says that an owner granted a permit that is not used before its
// expiry.
type PermitGranted struct {
	Owner  bbtfleet.HostID
	At     time.Time
	Expiry time.Time
}

// RequestDispatched says that a request was dispatched under a permit.
type RequestDispatched struct {
	Endpoint bbtfleet.EndpointID
	At       time.Time
	Expiry   time.Time
}

// EndpointWithdrawn says that operators took an endpoint out of service.
type EndpointWithdrawn struct {
	Endpoint bbtfleet.EndpointID
	At       time.Time
}

// EndpointRestored says that operators brought an endpoint back.
type EndpointRestored struct{ Endpoint bbtfleet.EndpointID }

// OrderAccepted says that an endpoint that checks fencing tokens accepted an
// order.
type OrderAccepted struct {
	Owner      bbtfleet.HostID
	Token      uint64
	SentAt     time.Time
	RightSince time.Time // when the owner began to have the right it used
}

func (PermitGranted) event()     {}
func (RequestDispatched) event() {}
func (EndpointWithdrawn) event() {}
func (EndpointRestored) event()  {}
func (OrderAccepted) event()     {}
