package bbtcatalog

// Account holds the API keys and limits of a client account.
type Account struct {
	Name         string   `cbor:"1,keyasint"`
	Keys         []string `cbor:"2,keyasint,omitempty"`
	HasTier      bool     `cbor:"3,keyasint,omitempty"` // Tier overrides the route's tier
	Tier         int      `cbor:"4,keyasint,omitempty"`
	RateInTokens bool     `cbor:"5,keyasint,omitempty"` // Rate and Burst count tokens, not requests
	DefaultCost  float64  `cbor:"6,keyasint,omitempty"` // cost in tokens of a request without token counts
	Rate         float64  `cbor:"7,keyasint,omitempty"` // units per second across all hosts; 0 for no limit
	Burst        float64  `cbor:"8,keyasint,omitempty"` // units allowed in a burst above the rate
}

// Cost returns the units that a request with the given number of tokens takes
// from the account's rate limit. A negative number means that the request states
// no token count.
func (a *Account) Cost(tokens int) float64 {
	switch {
	case !a.RateInTokens:
		return 1
	case tokens < 0:
		return a.DefaultCost
	default:
		return float64(tokens)
	}
}
