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
		return l.unknown()
	}
	tokens = max(0, tokens)
	a.used = now
	a.requests.count(now, oneRequest)
	a.tokens.count(now, float64(tokens))
	return l.decide(now, a, tokens, true)
}

// Resume decides a request again for which Admit said Waiting. It asks for more
// only while the account's homes grant what they are asked for, or have been
// silent for less than Patience.
func (l *Limiter) Resume(now time.Time, id bbtfleet.AccountID, tokens int) Decision {
	a := l.account(now, id)
	if a == nil {
		return l.unknown()
	}
	return l.decide(now, a, max(0, tokens), false)
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

// decide admits the request if its credit is there, and else asks for credit,
// waits for it, or refuses.
func (l *Limiter) decide(now time.Time, a *account, tokens int, first bool) Decision {
	if a.missing(now, tokens) == (need{}) {
		a.requests.spend(now, oneRequest)
		a.tokens.spend(now, float64(tokens))
		l.stats.Admitted++
		return Decision{outcome: Admitted}
	}
	a.prune(now)
	var sends []Send
	if a.mayAsk(now) && (first || !a.dry() || a.patient(now)) {
		sends = l.ask(now, a, tokens)
	}
	return l.waitOr(now, a, tokens, sends)
}

// waitOr returns the decision to wait for grants or for the next round of asks,
// or the refusal if neither is of use.
func (l *Limiter) waitOr(now time.Time, a *account, tokens int, sends []Send) Decision {
	d := Decision{outcome: Waiting, sends: sends}
	switch {
	case len(a.asks) > 0:
		d.until = a.asks[len(a.asks)-1].at.Add(CreditRequestTimeout)
	case (!a.dry() || a.patient(now)) && now.Before(a.nextRound()):
		d.until = a.nextRound()
	default:
		l.stats.Refused++
		return l.refuse(a, a.missing(now, tokens))
	}
	return d
}

// unknown refuses a request of an account without a contract.
func (l *Limiter) unknown() Decision {
	l.stats.Refused++
	return Decision{reason: bbtverdict.ReasonUnknownAccount}
}

// refuse returns the refusal for want of the missing credit.
func (l *Limiter) refuse(a *account, missing need) Decision {
	part := l.placement.part
	d := Decision{reason: bbtverdict.ReasonRequestRate, retryAfter: a.requests.wait(missing.requests, part)}
	if wait := a.tokens.wait(missing.tokens, part); missing.requests == 0 || wait > d.retryAfter {
		d.reason = bbtverdict.ReasonTokenRate
		d.retryAfter = wait
	}
	d.retryAfter = max(d.retryAfter, minRetryAfter)
	return d
}
