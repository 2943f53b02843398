package bbtsuspect

import "bluebelltray/core/bbtfleet"

// Crash identifies one crash of an endpoint, so that multiple reports of it
// count once. The fields are exported because the codec requires it.
type Crash struct {
	Endpoint    bbtfleet.EndpointID  `cbor:"1,keyasint"`
	Incarnation bbtfleet.Incarnation `cbor:"2,keyasint"`
}

// Notice tells a peer that a request was in flight on an endpoint when it
// crashed.
type Notice struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Crash       Crash       `cbor:"2,keyasint"`
	RemainingMS int64       `cbor:"3,keyasint"` // time until the suspect expires
}

// Claim asks the coordinator of a request to admit an attempt. Unless the request
// is proven, the coordinator records an admitted attempt until its Release, at
// most for ClaimTTL.
type Claim struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Attempt     Attempt     `cbor:"2,keyasint"`
}

// Attempt identifies one attempt of a request by the process that handles it
// and its call number there.
type Attempt struct {
	Host        bbtfleet.HostID      `cbor:"1,keyasint"`
	Incarnation bbtfleet.Incarnation `cbor:"2,keyasint"`
	ID          uint64               `cbor:"3,keyasint"`
}

// ClaimResponse answers a Claim. The modes Hold and Banned allow no dispatch.
type ClaimResponse struct {
	Fingerprint  Fingerprint  `cbor:"1,keyasint"`
	Attempt      Attempt      `cbor:"2,keyasint"`
	DispatchMode DispatchMode `cbor:"3,keyasint"`
}

// Release ends a claim: the coordinator removes the record of the attempt. Crash
// is set if the endpoint crashed with the attempt in flight; Complete reports
// that the attempt received a complete answer.
type Release struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Attempt     Attempt     `cbor:"2,keyasint"`
	Crash       *Crash      `cbor:"3,keyasint,omitempty"`
	Complete    bool        `cbor:"4,keyasint,omitempty"`
}

// Message is a message between hosts.
type Message interface{ message() }

func (Notice) message()        {}
func (Claim) message()         {}
func (ClaimResponse) message() {}
func (Release) message()       {}
