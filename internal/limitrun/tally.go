package main

import (
	"time"

	"golang.org/x/time/rate"

	"bluebelltray/core/bbtfleet"
)

// tally compares the tokens that the hosts admit with those that one central
// limiter would admit with exact and immediate knowledge.
type tally struct {
	start    time.Time
	accounts map[bbtfleet.AccountID]*usage
	large    sum // accounts with several homes
	small    sum // accounts with one home
	requests int // admitted
	waited   time.Duration
	messages int
	bytes    int
}

// sum holds token totals over accounts.
type sum struct {
	offered  float64
	ideal    float64 // admitted by the central limiter
	admitted float64
}

// add returns the sum of s and other.
func (s sum) add(other sum) sum {
	return sum{
		offered:  s.offered + other.offered,
		ideal:    s.ideal + other.ideal,
		admitted: s.admitted + other.admitted,
	}
}

// ratio returns admitted as a fraction of ideal, or one if ideal is zero.
func (s sum) ratio() float64 {
	if s.ideal == 0 {
		return 1
	}
	return s.admitted / s.ideal
}

// usage records the usage of one account.
type usage struct {
	contract bbtfleet.Contract
	requests *rate.Limiter
	tokens   *rate.Limiter
	large    bool
	admitted float64 // tokens
	excess   float64 // largest excess over burst plus rate, in seconds of the rate
}

// newTally returns an empty tally of the contracts' accounts; large reports whether
// an account has several homes.
func newTally(start time.Time, contracts []bbtfleet.Contract, large func(bbtfleet.AccountID) bool) tally {
	t := tally{start: start, accounts: make(map[bbtfleet.AccountID]*usage)}
	for _, c := range contracts {
		t.accounts[c.Account()] = &usage{
			contract: c,
			requests: limiter(c.Requests()),
			tokens:   limiter(c.Tokens()),
			large:    large(c.Account()),
		}
	}
	return t
}

// limiter returns a central limiter for the whole rate.
func limiter(r bbtfleet.Rate) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(r.PerSecond()), int(r.Burst()))
}

// sum returns the total that an account counts toward.
func (t *tally) sum(u *usage) *sum {
	if u.large {
		return &t.large
	}
	return &t.small
}

// offer counts an arriving request.
func (t *tally) offer(now time.Time, id bbtfleet.AccountID, tokens int) {
	u := t.accounts[id]
	s := t.sum(u)
	s.offered += float64(tokens)
	if u.requests.TokensAt(now) >= 1 && u.tokens.AllowN(now, tokens) {
		u.requests.AllowN(now, 1)
		s.ideal += float64(tokens)
	}
}

// admit counts a request admitted by a host.
func (t *tally) admit(now time.Time, r *request) {
	u := t.accounts[r.account]
	t.sum(u).admitted += float64(r.tokens)
	t.requests++
	t.waited += now.Sub(r.arrived)
	u.admitted += float64(r.tokens)
	limit := u.contract.Tokens()
	allowed := limit.Burst() + limit.PerSecond()*now.Sub(t.start).Seconds()
	u.excess = max(u.excess, (u.admitted-allowed)/limit.PerSecond())
}

// excess returns the largest excess of any account, in seconds of its rate.
func (t *tally) excess() float64 {
	most := 0.0
	for _, u := range t.accounts {
		most = max(most, u.excess)
	}
	return most
}
