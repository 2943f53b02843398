package bbtlimit

// need is an amount of credit for requests and for tokens.
type need struct {
	requests credit
	tokens   credit
}

// split returns one of n equal shares, rounded up.
func (d need) split(n int) need {
	if n <= 1 {
		return d
	}
	parts := credit(n)
	return need{requests: (d.requests + parts - 1) / parts, tokens: (d.tokens + parts - 1) / parts}
}
