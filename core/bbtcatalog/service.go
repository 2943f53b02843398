package bbtcatalog

import "time"

// Service is a set of endpoints that can stand in for one another.
type Service struct {
	Name           string        `cbor:"1,keyasint"`
	ColdDuration   time.Duration `cbor:"4,keyasint,omitempty"` // after a start during traffic
	ColdRate       float64       `cbor:"5,keyasint,omitempty"` // requests per second that a cold endpoint bears; 0 if it bears all
	ModelEngine    bool          `cbor:"6,keyasint,omitempty"` // its endpoints are model engines
	Slots          int           `cbor:"7,keyasint,omitempty"` // of one engine
	TokensPerEvent int           `cbor:"9,keyasint,omitempty"` // tokens of one event
}
