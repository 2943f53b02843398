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
	large    totals        // accounts with several homes
	small    totals        // accounts with one home
	requests int           // admitted
	waited   time.Duration // total waiting time of the admitted requests
	messages int           // sent between hosts
	bytes    int           // of these messages
}

// totals holds token totals over accounts.
type totals struct {
	offered  float64
	ideal    float64 // admitted by the central limiter
	admitted float64
}

// add returns the sum of s and other.
func (s totals) add(other totals) totals {
	return totals{
		offered:  s.offered + other.offered,
		ideal:    s.ideal + other.ideal,
		admitted: s.admitted + other.admitted,
	}
}

// ratio returns admitted as a fraction of ideal, or one if ideal is zero.
func (s totals) ratio() float64 {
	if s.ideal == 0 {
		return 1
	}
	return s.admitted / s.ideal
}

// usage holds one account's central limiters and admitted tokens.
type usage struct {
	contract bbtfleet.Contract
	requests *rate.Limiter
	tokens   *rate.Limiter
	large    bool
	admitted float64 // tokens
	excess   float64 // most tokens beyond burst plus rate, divided by the contract rate, in seconds
}

// newTally returns an empty tally of the contracts' accounts; large reports whether
// an account has several homes.
func newTally(start time.Time, contracts []bbtfleet.Contract, large func(bbtfleet.AccountID) bool) tally {
	t := tally{start: start, accounts: make(map[bbtfleet.AccountID]*usage)}
	for _, c := range contracts {
		t.accounts[c.Account()] = &usage{
			contract: c,
			requests: newCentralLimiter(c.Requests()),
			tokens:   newCentralLimiter(c.Tokens()),
			large:    large(c.Account()),
		}
	}
	return t
}

// newCentralLimiter returns a central limiter for the whole rate.
func newCentralLimiter(r bbtfleet.Rate) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(r.PerSecond()), int(r.Burst()))
}

// totalsOf returns the totals that an account counts toward.
func (t *tally) totalsOf(u *usage) *totals {
	if u.large {
		return &t.large
	}
	return &t.small
}

// offer counts an arriving request and submits it to the central limiters.
func (t *tally) offer(now time.Time, id bbtfleet.AccountID, tokens int) {
	u := t.accounts[id]
	s := t.totalsOf(u)
	s.offered += float64(tokens)
	if u.requests.TokensAt(now) >= 1 && u.tokens.AllowN(now, tokens) {
		u.requests.AllowN(now, 1)
		s.ideal += float64(tokens)
	}
}

// admit counts a request admitted by a host.
func (t *tally) admit(now time.Time, r *request) {
	u := t.accounts[r.account]
	t.totalsOf(u).admitted += float64(r.tokens)
	t.requests++
	t.waited += now.Sub(r.arrived)
	u.admitted += float64(r.tokens)
	limit := u.contract.Tokens()
	allowed := limit.Burst() + limit.PerSecond()*now.Sub(t.start).Seconds()
	u.excess = max(u.excess, (u.admitted-allowed)/limit.PerSecond())
}

// excess returns the largest excess of any account: its excess tokens divided by
// its contract rate, in seconds.
func (t *tally) excess() float64 {
	most := 0.0
	for _, u := range t.accounts {
		most = max(most, u.excess)
	}
	return most
}
