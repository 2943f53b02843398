package bbtcatalog

// Change is the latest state of one published item. Exactly one of the pointers
// is set.
type Change struct {
	Revision uint64    `cbor:"1,keyasint"` // platform revision; one sequence covers all items of an era
	Config   *Config   `cbor:"2,keyasint,omitempty"`
	Endpoint *Endpoint `cbor:"3,keyasint,omitempty"` // for a removal, only the ID is certain to be set
	Zone     *string   `cbor:"4,keyasint,omitempty"` // availability zone that was taken out of service
	Removed  bool      `cbor:"5,keyasint,omitempty"` // the item was removed; a removed zone is back in service
}

// Update holds all changes of an era after a revision. A full update replaces all
// known state.
type Update struct {
	Revision uint64   `cbor:"1,keyasint"` // all changes up to it are included
	Full     bool     `cbor:"2,keyasint,omitempty"`
	Changes  []Change `cbor:"3,keyasint,omitempty"`
	Era      uint64   `cbor:"4,keyasint,omitempty"`
}

// Position returns the position up to which all changes are included.
func (u Update) Position() Position { return Position{u.Era, u.Revision} }
