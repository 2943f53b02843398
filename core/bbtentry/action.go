package bbtentry

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtschedule"
	"bluebelltray/core/bbtverdict"
)

// Action is something that the driver of an Entry has to do.
type Action interface{ action() }

// Send asks for a message to be sent to a host.
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
	Decision DecisionInfo
}

// DecisionInfo is what an owner knew when it decided.
type DecisionInfo struct {
	Owner        bbtfleet.HostID
	Running      int           // requests at the endpoint of a dispatch
	Ahead        int           // requests that would have gone before a refused one
	ExpectedWait time.Duration // expected until its turn
}

// Fail ends a request that gets no further dispatch.
type Fail struct {
	ID         bbtschedule.RequestID
	Reason     bbtverdict.Reason
	RetryAfter time.Duration
	Decision   DecisionInfo
}

// OwnerUnresponsive says that the owner does not answer.
type OwnerUnresponsive struct {
	Host    bbtfleet.HostID
	Silence time.Duration
}

func (Send) action()              {}
func (Dispatch) action()          {}
func (Fail) action()              {}
func (OwnerUnresponsive) action() {}
