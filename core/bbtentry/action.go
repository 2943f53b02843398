package bbtentry

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtschedule"
	"bluebelltray/core/bbtverdict"
)

// Action is an operation that the caller of an Entry method must perform, or an
// event that the method reports.
type Action interface{ action() }

// Send sends a message to a host.
type Send struct {
	To      bbtfleet.HostID
	Message bbtschedule.Message
}

// Dispatch sends a request to an endpoint.
type Dispatch struct {
	ID       bbtschedule.RequestID
	Attempt  int
	Endpoint string
	Address  string // IP:port
	Decision Decision

	StartTimeMS int64 // of the endpoint's incarnation
}

// incarnation returns the incarnation of the endpoint.
func (d Dispatch) incarnation() bbtschedule.Incarnation {
	return bbtschedule.Incarnation{Endpoint: d.Endpoint, Address: d.Address, StartTimeMS: d.StartTimeMS}
}

// Decision is the state on which an owner based a permit or a refusal.
type Decision struct {
	Owner   bbtfleet.HostID
	Running int           // requests at the endpoint, for a permit
	Ahead   int           // requests that were to be executed before the refused one
	Wait    time.Duration // expected time in the queue
}

// Fail ends a request that is not dispatched again.
type Fail struct {
	ID         bbtschedule.RequestID
	Reason     bbtverdict.Reason
	RetryAfter time.Duration
	Decision   Decision
}

// RelocationGranted reports that a request whose endpoint is silent may be sent to
// another endpoint while its dispatch goes on, after a call of RelocationDispatched.
type RelocationGranted struct {
	ID       bbtschedule.RequestID
	Dispatch Dispatch // to the other endpoint
}

// RelocationRefused reports that no other endpoint takes a request whose endpoint is
// silent.
type RelocationRefused struct{ ID bbtschedule.RequestID }

// OwnerUnresponsive reports that the owner has been silent for at least
// OwnerTimeout while a reply from it was pending.
type OwnerUnresponsive struct {
	Host    bbtfleet.HostID
	Silence time.Duration
}

// EndpointDrains reports that an endpoint has said to this host, for the first time,
// that it is draining.
type EndpointDrains struct{ Endpoint string }

// EndpointPauses reports that an endpoint has said to this host that it wants no requests
// from it for a period.
type EndpointPauses struct {
	Endpoint string
	Period   time.Duration
}

// PermitReturned reports that a permit was returned, since its endpoint is draining or
// wants no requests from this host.
type PermitReturned struct {
	ID       bbtschedule.RequestID
	Endpoint string
	Draining bool
}

func (Send) action()              {}
func (Dispatch) action()          {}
func (Fail) action()              {}
func (RelocationGranted) action() {}
func (RelocationRefused) action() {}
func (OwnerUnresponsive) action() {}
func (EndpointDrains) action()    {}
func (EndpointPauses) action()    {}
func (PermitReturned) action()    {}
