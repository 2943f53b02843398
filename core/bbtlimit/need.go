package bbtlimit

// need is credit for requests and tokens.
type need struct {
	requests credit
	tokens   credit
}

// share returns one of n equal parts, rounded up.
func (d need) share(n int) need {
	if n <= 1 {
		return d
	}
	parts := credit(n)
	return need{requests: (d.requests + parts - 1) / parts, tokens: (d.tokens + parts - 1) / parts}
}
