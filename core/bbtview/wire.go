package bbtview

import "bluebelltray/core/bbtfleet"

// The messages below travel between hosts. Their fields are exported because
// the codec needs it.

// Digest is what a host tells peers of its view.
type Digest struct {
	Revision uint64 `cbor:"1,keyasint,omitempty"` // configuration revision in force
	Content  uint64 `cbor:"2,keyasint,omitempty"` // configuration content digest
	Hosts    uint64 `cbor:"3,keyasint,omitempty"` // host list revision
	Age      uint32 `cbor:"4,keyasint,omitempty"` // ms since the platform confirmed the view, AgeUnknown if never
	Refused  uint64 `cbor:"5,keyasint,omitempty"` // configuration revision refused last, if newer
	RefusedContent      uint64 `cbor:"6,keyasint,omitempty"` // its content digest
}

// Version returns the version of the configuration in force.
func (d Digest) Version() bbtfleet.Version {
	return bbtfleet.NewVersion(bbtfleet.Revision(d.Revision), d.Content)
}

// RefusedVersion returns the version refused last.
func (d Digest) RefusedVersion() bbtfleet.Version {
	return bbtfleet.NewVersion(bbtfleet.Revision(d.Refused), d.RefusedContent)
}

// AgeUnknown is the age of a view that the platform has never confirmed, or too
// long ago for an age to express.
const AgeUnknown = ^uint32(0)

// Query asks a peer for what the asking host lacks.
type Query struct {
	Digest Digest   `cbor:"1,keyasint"`           // the asker's view
	HeldParts   []uint64 `cbor:"2,keyasint,omitempty"` // digests of the parts the asker holds
	DigestOnly  bool     `cbor:"3,keyasint,omitempty"` // whether the peer's Digest is all that is wanted
}

// Reply answers a Question.
type Reply struct {
	Digest   Digest     `cbor:"1,keyasint"`
	Manifest []byte     `cbor:"2,keyasint,omitempty"` // the manifest's bytes, if newer than the asker's
	Parts    [][]byte   `cbor:"3,keyasint,omitempty"` // compressed contents of the parts the asker lacks
	Hosts    *HostDelta `cbor:"4,keyasint,omitempty"` // changes of the host list, if newer than the asker's
}

// HostDelta changes the host list of revision From into that of revision To.
// A From of zero makes a whole list.
type HostDelta struct {
	From    uint64       `cbor:"1,keyasint,omitempty"`
	To      uint64       `cbor:"2,keyasint"`
	Set     []HostRecord `cbor:"3,keyasint,omitempty"`
	Removed []string     `cbor:"4,keyasint,omitempty"`
}

// HostRecord is one host of a HostDelta.
type HostRecord struct {
	ID         string `cbor:"1,keyasint"`
	Zone       string `cbor:"2,keyasint"`
	PeerAddr   string `cbor:"3,keyasint,omitempty"`
	CallerAddr string `cbor:"4,keyasint,omitempty"`
	State      uint8  `cbor:"5,keyasint,omitempty"`
}
