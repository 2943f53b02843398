package bbtlimit

// credits is an amount of credit for requests and one for tokens.
type credits struct {
	requests credit
	tokens   credit
}

// split returns one of n equal shares, rounded up.
func (c credits) split(n int) credits {
	if n <= 1 {
		return c
	}
	parts := credit(n)
	return credits{requests: (c.requests + parts - 1) / parts, tokens: (c.tokens + parts - 1) / parts}
}
