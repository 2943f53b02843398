package bbtcatalog

// Account is a client account's keys and limits.
type Account struct {
	Name        string   `cbor:"1,keyasint"`
	Keys        []string `cbor:"2,keyasint,omitempty"`
	HasTier     bool     `cbor:"3,keyasint,omitempty"` // Tier goes before the route's
	Tier        int      `cbor:"4,keyasint,omitempty"`
	InTokens    bool     `cbor:"5,keyasint,omitempty"` // Rate and Burst count tokens, not requests
	DefaultCost float64  `cbor:"6,keyasint,omitempty"` // tokens that a request without token counts costs
	Rate        float64  `cbor:"7,keyasint,omitempty"` // units per second over all hosts; 0 for no limit
	Burst       float64  `cbor:"8,keyasint,omitempty"` // units at once above the rate
}

// Cost returns what a request with the given number of tokens counts against
// the account's rate; tokens is negative if the request states none.
func (a *Account) Cost(tokens int) float64 {
	switch {
	case !a.InTokens:
		return 1
	case tokens < 0:
		return a.DefaultCost
	default:
		return float64(tokens)
	}
}
