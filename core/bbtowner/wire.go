package bbtowner

// The messages below travel between hosts. Their fields are exported because
// the codec needs it.

// Message is a LeaseAsk, a LeaseAnswer or a Release.
type Message interface{ message() }

// LeaseAsk asks an elector to support the sender as the owner of endpoints.
type LeaseAsk struct {
	Seq    uint32  `cbor:"1,keyasint"`
	View   View    `cbor:"2,keyasint"`
	Claims []Claim `cbor:"3,keyasint"`
}

// Claim is one endpoint of a LeaseAsk.
type Claim struct {
	Endpoint string `cbor:"1,keyasint"`
	Epoch    uint32 `cbor:"2,keyasint,omitempty"` // that the sender has or would take
	Held     bool   `cbor:"3,keyasint,omitempty"` // whether the sender owns the endpoint
	Settled  *View  `cbor:"4,keyasint,omitempty"` // up to which the elector's earlier Electorates have moved on
}

// LeaseAnswer answers the LeaseAsk of the same number.
type LeaseAnswer struct {
	Seq   uint32 `cbor:"1,keyasint"`
	View  View   `cbor:"2,keyasint"`
	Votes []Vote `cbor:"3,keyasint"` // in the order of the claims
}

// Vote is an elector's answer for one endpoint.
type Vote struct {
	Granted bool         `cbor:"1,keyasint,omitempty"`
	Epoch   uint32       `cbor:"2,keyasint,omitempty"` // largest epoch that the elector knew before
	Holder  string       `cbor:"3,keyasint,omitempty"` // host that it supports, if another
	New     bool         `cbor:"4,keyasint,omitempty"` // whether the elector can't know of an earlier owner
	Earlier []Electorate `cbor:"5,keyasint,omitempty"` // whose majority is needed too
}

// Electorate is the electors of an endpoint under an earlier view. View is the
// one that replaced it.
type Electorate struct {
	View  View     `cbor:"1,keyasint"`
	Hosts []string `cbor:"2,keyasint"`
}

// Release says that the sender owns the endpoints no longer.
type Release struct {
	Seq       uint32   `cbor:"1,keyasint"` // of the sender's last LeaseAsk
	Endpoints []string `cbor:"2,keyasint"`
}

func (LeaseAsk) message()    {}
func (LeaseAnswer) message() {}
func (Release) message()     {}
