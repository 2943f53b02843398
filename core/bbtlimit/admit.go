package bbtlimit

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtverdict"
)

// oneRequest is the number of units of the request rate that one request uses.
const oneRequest = 1

// Admit decides whether to admit a request that is expected to use the given
// number of tokens.
// If the outcome is Waiting, the driver sends the messages, holds the request,
// and calls Resume when a grant for the account arrives or at the time returned
// by Decision.Until.
func (l *Limiter) Admit(now time.Time, id bbtfleet.AccountID, tokens int) Decision {
	a := l.account(now, id)
	if a == nil {
		return l.refuseUnknownAccount()
	}
	tokens = max(0, tokens)
	a.lastUsed = now
	a.requests.recordDemand(now, oneRequest)
	a.tokens.recordDemand(now, float64(tokens))
	return l.decide(now, a, tokens, true)
}

// Resume decides again on a waiting request. It requests no more credit once all
// homes asked in a round granted less than was requested, unless a credit request
// has timed out since the last grant and less than HomeReplacementTimeout has
// passed since it was sent.
func (l *Limiter) Resume(now time.Time, id bbtfleet.AccountID, tokens int) Decision {
	a := l.account(now, id)
	if a == nil {
		return l.refuseUnknownAccount()
	}
	return l.decide(now, a, max(0, tokens), false)
}

// Settle corrects the tokens of an admitted request once its actual use is
// known.
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

// decide admits the request if there is credit for it. Otherwise it requests
// credit, waits for it, or refuses the request. Only the first decision on a
// request requests credit regardless of the result of the last round.
func (l *Limiter) decide(now time.Time, a *account, tokens int, first bool) Decision {
	if a.shortage(now, tokens) == (credits{}) {
		a.requests.spend(now, oneRequest)
		a.tokens.spend(now, float64(tokens))
		l.stats.Admitted++
		return Decision{outcome: Admitted}
	}
	a.prune(now)
	var sends []Send
	if a.canRequest(now) && (first || !a.exhausted() || a.awaitsReplacement(now)) {
		sends = l.requestCredit(now, a, tokens)
	}
	return l.waitOrRefuse(now, a, tokens, sends)
}

// waitOrRefuse waits for pending grants or the next round of credit requests,
// and refuses the request if neither can help.
func (l *Limiter) waitOrRefuse(now time.Time, a *account, tokens int, sends []Send) Decision {
	d := Decision{outcome: Waiting, sends: sends}
	switch {
	case len(a.pending) > 0:
		d.until = a.pending[len(a.pending)-1].sentAt.Add(CreditRequestTimeout)
	case (!a.exhausted() || a.awaitsReplacement(now)) && now.Before(a.nextRound()):
		d.until = a.nextRound()
	default:
		l.stats.Refused++
		return l.refuse(a, a.shortage(now, tokens))
	}
	return d
}

// refuseUnknownAccount refuses a request of an account without a contract.
func (l *Limiter) refuseUnknownAccount() Decision {
	l.stats.Refused++
	return Decision{reason: bbtverdict.ReasonUnknownAccount}
}

// refuse refuses a request for lack of credit. The reason names the rate with
// the longer wait.
func (l *Limiter) refuse(a *account, shortage credits) Decision {
	share := l.placement.reachableShare
	d := Decision{reason: bbtverdict.ReasonRequestRate, retryAfter: a.requests.refillTime(shortage.requests, share)}
	if refillTime := a.tokens.refillTime(shortage.tokens, share); shortage.requests == 0 || refillTime > d.retryAfter {
		d.reason = bbtverdict.ReasonTokenRate
		d.retryAfter = refillTime
	}
	d.retryAfter = max(d.retryAfter, minRetryAfter)
	return d
}
