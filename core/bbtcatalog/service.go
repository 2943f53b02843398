package bbtcatalog

import "time"

// Service is a set of interchangeable endpoints.
type Service struct {
	Name           string        `cbor:"1,keyasint"`
	ColdDuration   time.Duration `cbor:"4,keyasint,omitempty"` // how long an endpoint that starts under load stays cold
	ColdRate       float64       `cbor:"5,keyasint,omitempty"` // maximum requests per second to a cold endpoint; 0 for no limit
	ModelEngine    bool          `cbor:"6,keyasint,omitempty"` // the endpoints are model engines
	Slots          int           `cbor:"7,keyasint,omitempty"` // maximum concurrent requests per engine
	TokensPerEvent int           `cbor:"9,keyasint,omitempty"`
	CacheTokens    int           `cbor:"10,keyasint,omitempty"` // tokens that an engine's memory holds, for running requests and cached prompts; 0 if unknown
}
