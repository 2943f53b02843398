package bbtsuspect

import "bluebelltray/core/bbtfleet"

// Crash identifies one death of an endpoint, so that several reports of it
// count once. The fields are exported as the codec requires.
type Crash struct {
	Endpoint    bbtfleet.EndpointID  `cbor:"1,keyasint"`
	Incarnation bbtfleet.Incarnation `cbor:"2,keyasint"`
}

// Notice tells a peer of a request that was in flight on an endpoint when the
// endpoint died.
type Notice struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Crash       Crash       `cbor:"2,keyasint"`
	RemainingMS int64       `cbor:"3,keyasint"` // time until the suspicion ends
}

// Claim asks a request's guard whether a copy may be dispatched.
type Claim struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Attempt     Attempt     `cbor:"2,keyasint"`
}

// Attempt identifies one copy of a request by the process that holds it and its
// number there.
type Attempt struct {
	Host        bbtfleet.HostID      `cbor:"1,keyasint"`
	Incarnation bbtfleet.Incarnation `cbor:"2,keyasint"`
	ID          uint64               `cbor:"3,keyasint"`
}

// Grant answers a Claim.
type Grant struct {
	Fingerprint  Fingerprint  `cbor:"1,keyasint"`
	Attempt      Attempt      `cbor:"2,keyasint"`
	DispatchMode DispatchMode `cbor:"3,keyasint"`
}

// Release ends a claim. Crash names the endpoint that died with the copy in
// flight; Whole says that the copy got its whole answer.
type Release struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Attempt     Attempt     `cbor:"2,keyasint"`
	Crash       *Crash      `cbor:"3,keyasint,omitempty"`
	Complete    bool        `cbor:"4,keyasint,omitempty"`
}

// Message travels between hosts.
type Message interface{ message() }

func (Notice) message()  {}
func (Claim) message()   {}
func (Grant) message()   {}
func (Release) message() {}
