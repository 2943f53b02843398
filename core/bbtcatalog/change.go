package bbtcatalog

// Change is one published item as it was written last. Exactly one of the
// pointers is set; Gone says that the item was removed.
type Change struct {
	Revision uint64    `cbor:"1,keyasint"` // of the platform, over all items
	Config   *Config   `cbor:"2,keyasint,omitempty"`
	Endpoint *Endpoint `cbor:"3,keyasint,omitempty"` // of a removed one only the ID is known
	Zone     *string   `cbor:"4,keyasint,omitempty"` // taken out of service
	Removed  bool      `cbor:"5,keyasint,omitempty"`
}

// Update is what a host lacks: all changes after a revision. A whole one
// replaces everything.
type Update struct {
	Revision uint64   `cbor:"1,keyasint"` // all changes up to it are known
	Full     bool     `cbor:"2,keyasint,omitempty"`
	Changes  []Change `cbor:"3,keyasint,omitempty"`
}
