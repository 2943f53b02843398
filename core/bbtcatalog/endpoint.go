package bbtcatalog

import "time"

// Endpoint is one incarnation of a server of a service.
type Endpoint struct {
	ID            string        `cbor:"1,keyasint"` // under which the server registers; a restarted server may keep it
	StartTimeMS   int64         `cbor:"2,keyasint"` // start time in Unix ms; 0 if unknown
	Service       string        `cbor:"3,keyasint"`
	Address       string        `cbor:"4,keyasint"` // IP:port
	Zone          string        `cbor:"5,keyasint,omitempty"`
	Slots         int           `cbor:"6,keyasint,omitempty"` // maximum concurrent requests
	Draining      bool          `cbor:"7,keyasint,omitempty"`
	ColdRemaining time.Duration `cbor:"8,keyasint,omitempty"` // remaining cold-start time when the entry was written
}

// SameIncarnation reports whether two entries describe the same incarnation
// of a server.
func (e Endpoint) SameIncarnation(o Endpoint) bool {
	return e.ID == o.ID && e.Address == o.Address && e.StartTimeMS == o.StartTimeMS
}
