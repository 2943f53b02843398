package bbtgrant

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtverdict"
)

// RequestID is an entry host's number for a request. It is unique within the
// entry host's process.
type RequestID uint64

// PermitID is an owner's number for a permit. It is unique among all permits of
// the owner's host, also across restarts of its process.
type PermitID uint64

// Message is a message between entry hosts and owners.
type Message interface{ message() }

// Registration asks an owner for a permit on one of its endpoints.
type Registration struct {
	Request RequestID          `cbor:"1,keyasint"`
	Pool    bbtfleet.PoolID    `cbor:"2,keyasint"`
	Account bbtfleet.AccountID `cbor:"3,keyasint"`
	Tier    bbtfleet.Tier      `cbor:"4,keyasint"`

	// SentAt is the time of sending on the entry host's clock, counted from the
	// start of its process.
	SentAt time.Duration `cbor:"5,keyasint"`

	// TimeLeft is the time from SentAt to the request's deadline.
	TimeLeft time.Duration `cbor:"6,keyasint"`

	// InputTokens is the expected length of the prompt, and OutputTokens the
	// maximum length of the answer.
	InputTokens  int `cbor:"7,keyasint"`
	OutputTokens int `cbor:"8,keyasint,omitempty"`

	// Prefix identifies the start of the prompt that endpoints may have cached,
	// and PrefixTokens is its length. Both are zero if there is none.
	Prefix       uint64 `cbor:"9,keyasint,omitempty"`
	PrefixTokens int    `cbor:"12,keyasint,omitempty"`

	// Exclude lists endpoints that the request must not run on again.
	Exclude []bbtfleet.EndpointID `cbor:"10,keyasint,omitempty"`

	// Isolated asks for an endpoint that runs no other isolated request, so
	// that a crash of the endpoint can be attributed to the request.
	Isolated bool `cbor:"11,keyasint,omitempty"`
}

// Permit allows one dispatch of one request to one incarnation of an endpoint.
type Permit struct {
	ID          PermitID             `cbor:"1,keyasint"`
	Request     RequestID            `cbor:"2,keyasint"`
	Endpoint    bbtfleet.EndpointID  `cbor:"3,keyasint"`
	Incarnation bbtfleet.Incarnation `cbor:"4,keyasint,omitempty"`

	// Expiry is the time on the entry host's clock, as in Registration.SentAt,
	// after which the dispatch must not start. It is computed from SentAt and
	// therefore early by the transit time of the registration.
	Expiry time.Duration `cbor:"5,keyasint"`
}

// Withdrawal cancels a registration.
type Withdrawal struct {
	Request RequestID `cbor:"1,keyasint"`
}

// Return gives back an unused permit.
type Return struct {
	Permit PermitID `cbor:"1,keyasint"`
}

// DispatchEnded reports to the owner that the dispatch under a permit has
// ended.
type DispatchEnded struct {
	Permit  PermitID `cbor:"1,keyasint"`
	Outcome Outcome  `cbor:"2,keyasint"`

	// OutputTokens is the number of tokens generated.
	OutputTokens int `cbor:"3,keyasint,omitempty"`

	// TimeToFirstToken is the time from the dispatch to the first token, and
	// Elapsed the time from the dispatch to its end.
	TimeToFirstToken time.Duration `cbor:"4,keyasint,omitempty"`
	Elapsed          time.Duration `cbor:"5,keyasint,omitempty"`
}

// Shed reports to an entry host that the owner has dropped its registration.
type Shed struct {
	To         bbtfleet.HostID   `cbor:"-"`
	Request    RequestID         `cbor:"1,keyasint"`
	Reason     bbtverdict.Reason `cbor:"2,keyasint"`
	RetryAfter time.Duration     `cbor:"3,keyasint,omitempty"`
}

func (Registration) message()  {}
func (Permit) message()        {}
func (Withdrawal) message()    {}
func (Return) message()        {}
func (DispatchEnded) message() {}
func (Shed) message()          {}
