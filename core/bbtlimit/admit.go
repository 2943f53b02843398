package bbtlimit

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtverdict"
)

// oneRequest is the cost of a request in requests.
const oneRequest = 1

// Admit decides a request that is expected to use the given number of tokens.
// If the outcome is Waiting, the driver sends the messages, holds the request
// back, and calls Resume when a grant for the account arrives or the decision's
// Until has come.
func (l *Limiter) Admit(now time.Time, id bbtfleet.AccountID, tokens int) Decision {
	a := l.account(now, id)
	if a == nil {
		return Decision{reason: bbtverdict.ReasonUnknownAccount}
	}
	a.used = now
	a.requests.count(now, oneRequest)
	a.tokens.count(now, float64(tokens))
	d := l.decide(now, a, tokens)
	if d.outcome != Refused {
		return d
	}
	a.prune(now)
	if len(a.asks) == 0 {
		d.sends = l.ask(now, a, tokens)
	}
	return l.waitOr(d, a)
}

// Resume decides a request again for which Admit said Waiting. It waits on for
// grants that may still come, but asks for no more.
func (l *Limiter) Resume(now time.Time, id bbtfleet.AccountID, tokens int) Decision {
	a := l.account(now, id)
	if a == nil {
		return Decision{reason: bbtverdict.ReasonUnknownAccount}
	}
	d := l.decide(now, a, tokens)
	if d.outcome != Refused {
		return d
	}
	a.prune(now)
	return l.waitOr(d, a)
}

// Settle corrects the tokens of an admitted request once it is known how many
// it used.
func (l *Limiter) Settle(now time.Time, id bbtfleet.AccountID, expected, used int) {
	a := l.account(now, id)
	switch {
	case a == nil:
	case used > expected:
		a.tokens.spend(now, float64(used-expected))
	case used < expected:
		a.tokens.refund(now, float64(expected-used))
	}
}

// decide admits the request if its credit is there.
func (l *Limiter) decide(now time.Time, a *account, tokens int) Decision {
	requests := a.requests.missing(now, oneRequest)
	lacking := a.tokens.missing(now, float64(tokens))
	if requests > 0 || lacking > 0 {
		return l.refuse(a, requests, lacking)
	}
	a.requests.spend(now, oneRequest)
	a.tokens.spend(now, float64(tokens))
	l.stats.Admitted++
	return Decision{outcome: Admitted}
}

// waitOr returns the decision to wait while asks are out, and else the refusal.
func (l *Limiter) waitOr(refusal Decision, a *account) Decision {
	if len(a.asks) == 0 {
		l.stats.Refused++
		return refusal
	}
	last := a.asks[len(a.asks)-1]
	return Decision{outcome: Waiting, until: last.at.Add(AskTimeout), sends: refusal.sends}
}

// refuse returns the refusal for want of the given credit.
func (l *Limiter) refuse(a *account, requests, tokens credit) Decision {
	part := l.placement.part
	d := Decision{reason: bbtverdict.ReasonRequestRate, retryAfter: a.requests.wait(requests, part)}
	if wait := a.tokens.wait(tokens, part); requests == 0 || wait > d.retryAfter {
		d.reason = bbtverdict.ReasonTokenRate
		d.retryAfter = wait
	}
	d.retryAfter = max(d.retryAfter, minRetryAfter)
	return d
}
