package bbtschedule

import "bluebelltray/core/bbtcatalog"

// Incarnation identifies one process of an endpoint that may restart, also to hosts
// whose catalogs differ. A restarted endpoint may keep its ID and its address.
type Incarnation struct {
	Endpoint    string `cbor:"1,keyasint"`
	Address     string `cbor:"2,keyasint"` // IP:port
	StartTimeMS int64  `cbor:"3,keyasint,omitempty"`
}

// incarnationOf returns the incarnation that a published entry describes.
func incarnationOf(ep bbtcatalog.Endpoint) Incarnation {
	return Incarnation{Endpoint: ep.ID, Address: ep.Address, StartTimeMS: ep.StartTimeMS}
}

// Succeeds reports whether i is a later incarnation of the same endpoint than o.
func (i Incarnation) Succeeds(o Incarnation) bool {
	return i.Endpoint == o.Endpoint && (i.StartTimeMS > o.StartTimeMS || i.StartTimeMS == o.StartTimeMS && i.Address != o.Address)
}
