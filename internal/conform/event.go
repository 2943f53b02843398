// Package conform implements the invariants of the models in spec/ as functions
// over traces, so that tests can check the Go code against them.
package conform

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// Event is one event of a trace.
type Event interface{ event() }

// PermitGranted records that an owner granted a permit. The traces contain no early
// return: a permit counts until its expiry.
type PermitGranted struct {
	Owner  bbtfleet.HostID
	At     time.Time
	Expiry time.Time
}

// RequestDispatched records that a request was dispatched under a permit.
type RequestDispatched struct {
	Endpoint bbtfleet.EndpointID
	At       time.Time
	Expiry   time.Time
}

// EndpointWithdrawn records that operators took an endpoint out of service.
type EndpointWithdrawn struct {
	Endpoint bbtfleet.EndpointID
	At       time.Time
}

// EndpointRestored records that operators put an endpoint back into service.
type EndpointRestored struct{ Endpoint bbtfleet.EndpointID }

// OrderAccepted records that an endpoint that checks fencing tokens accepted an
// order. An order is a request to an endpoint that carries a fencing token.
type OrderAccepted struct {
	Owner      bbtfleet.HostID
	Token      uint64
	SentAt     time.Time
	RightSince time.Time // when the owner acquired the right under which it sent the order
}

func (PermitGranted) event()     {}
func (RequestDispatched) event() {}
func (EndpointWithdrawn) event() {}
func (EndpointRestored) event()  {}
func (OrderAccepted) event()     {}
