package bbtview

import "bluebelltray/core/bbtfleet"

// The types below are sent between hosts. The codec needs exported fields.

// Digest is the summary of a host's view that it sends to peers.
type Digest struct {
	Revision       uint64 `cbor:"1,keyasint,omitempty"` // revision of the active configuration
	Content        uint64 `cbor:"2,keyasint,omitempty"` // content hash of the active configuration's manifest
	Hosts          uint64 `cbor:"3,keyasint,omitempty"` // revision of the active host list
	Age            uint32 `cbor:"4,keyasint,omitempty"` // time in ms since the platform confirmed the view, or AgeUnknown
	Refused        uint64 `cbor:"5,keyasint,omitempty"` // revision of the newest refused configuration, if newer than the active one
	RefusedContent uint64 `cbor:"6,keyasint,omitempty"` // content hash of that configuration's manifest
	Era            uint64 `cbor:"7,keyasint,omitempty"` // era of Hosts, if the platform numbers its revisions anew after a loss
}

// Version returns the version of the active configuration.
func (d Digest) Version() bbtfleet.Version {
	return bbtfleet.NewVersion(bbtfleet.Revision(d.Revision), d.Content)
}

// RefusedVersion returns the version of the newest refused configuration, zero if
// none is newer than the active one.
func (d Digest) RefusedVersion() bbtfleet.Version {
	return bbtfleet.NewVersion(bbtfleet.Revision(d.Refused), d.RefusedContent)
}

// AgeUnknown is the Age of a view that the platform has never confirmed or
// confirmed longer ago than Age can express.
const AgeUnknown = ^uint32(0)

// Query asks a peer for what the sender does not have.
type Query struct {
	Digest     Digest   `cbor:"1,keyasint"`           // of the sender's view
	HeldParts  []uint64 `cbor:"2,keyasint,omitempty"` // content hashes of the parts that the sender has
	DigestOnly bool     `cbor:"3,keyasint,omitempty"` // the Reply need only contain the Digest
}

// Reply answers a Query.
type Reply struct {
	Digest   Digest     `cbor:"1,keyasint"`
	Manifest []byte     `cbor:"2,keyasint,omitempty"` // the manifest's bytes, if newer than the querying host's
	Parts    [][]byte   `cbor:"3,keyasint,omitempty"` // compressed contents of the parts that the querying host does not have
	Hosts    *HostDelta `cbor:"4,keyasint,omitempty"` // changes of the host list, if newer than the querying host's
}

// HostDelta is the difference between the host lists of revisions From and To.
// With a From of zero it contains the whole list.
type HostDelta struct {
	From    uint64       `cbor:"1,keyasint,omitempty"`
	To      uint64       `cbor:"2,keyasint"`
	Set     []HostRecord `cbor:"3,keyasint,omitempty"`
	Removed []string     `cbor:"4,keyasint,omitempty"`
}

// HostRecord is the wire form of a host.
type HostRecord struct {
	ID         string `cbor:"1,keyasint"`
	Zone       string `cbor:"2,keyasint"`
	PeerAddr   string `cbor:"3,keyasint,omitempty"`
	CallerAddr string `cbor:"4,keyasint,omitempty"`
	State      uint8  `cbor:"5,keyasint,omitempty"`
}
