package main

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"bluebelltray/core/bbtfleet"
)

// tally compares what the hosts admit with what one limiter with exact and
// instant knowledge would.
type tally struct {
	start    time.Time
	accounts map[bbtfleet.AccountID]*usage
	offered  float64 // tokens
	ideal    float64 // tokens admitted by the one limiter
	admitted float64 // tokens
	requests int     // admitted
	waited   time.Duration
	messages int
	bytes    int
}

// usage is what one account used.
type usage struct {
	contract bbtfleet.Contract
	requests *rate.Limiter
	tokens   *rate.Limiter
	admitted float64 // tokens
	excess   float64 // largest excess over burst and rate, in seconds of the rate
}

// newTally returns the tally of accounts.
func newTally(start time.Time, contracts []bbtfleet.Contract) tally {
	t := tally{start: start, accounts: make(map[bbtfleet.AccountID]*usage)}
	for _, c := range contracts {
		t.accounts[c.Account()] = &usage{contract: c, requests: limiter(c.Requests()), tokens: limiter(c.Tokens())}
	}
	return t
}

// limiter returns one limiter of the whole rate.
func limiter(r bbtfleet.Rate) *rate.Limiter {
	if r.PerSecond() == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(r.PerSecond()), int(r.Burst()))
}

// offer counts a request that arrives.
func (t *tally) offer(now time.Time, id bbtfleet.AccountID, tokens int) {
	u := t.accounts[id]
	t.offered += float64(tokens)
	if u.requests.TokensAt(now) >= 1 && u.tokens.AllowN(now, tokens) {
		u.requests.AllowN(now, 1)
		t.ideal += float64(tokens)
	}
}

// admit counts a request that the hosts admit.
func (t *tally) admit(now time.Time, r *request) {
	u := t.accounts[r.account]
	t.admitted += float64(r.tokens)
	t.requests++
	t.waited += now.Sub(r.arrived)
	u.admitted += float64(r.tokens)
	limit := u.contract.Tokens()
	if limit.PerSecond() == 0 {
		return
	}
	allowed := limit.Burst() + limit.PerSecond()*now.Sub(t.start).Seconds()
	u.excess = max(u.excess, (u.admitted-allowed)/limit.PerSecond())
}

// excess returns the largest excess of any account, in seconds of its rate.
func (t *tally) excess() float64 {
	most := math.Inf(-1)
	for _, u := range t.accounts {
		most = max(most, u.excess)
	}
	return most
}
