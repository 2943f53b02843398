package bbtlimit

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// ask asks homes of the account for credit and returns the messages. If the
// demand calls for credit ahead, all homes of a round are asked for a part of
// it; else one home after another is asked for what is missing.
func (l *Limiter) ask(now time.Time, a *account, tokens int) []Send {
	if !now.Before(a.nextRound()) {
		a.asked = now
		a.misses = 0
	}
	missing := a.missing(now, tokens)
	want := a.want(now, missing, tokens)
	n := 1
	if want != missing {
		n = a.reach()
	}
	want = want.share(n)
	var sends []Send
	for range n {
		if !l.mayAsk(now, a) {
			a.misses = a.reach()
			break
		}
		sends = append(sends, l.askOne(now, a, want, missing, n == 1))
	}
	return sends
}

// askOne asks the account's next home. If the home is the only one asked, it is
// told what is needed.
func (l *Limiter) askOne(now time.Time, a *account, want, missing need, only bool) Send {
	to := a.others[a.turn%len(a.others)]
	a.turn++
	l.nextID++
	a.asks = append(a.asks, ask{id: l.nextID, to: to, at: now, want: want})
	k := CreditRequest{ID: l.nextID, Account: string(a.id), Requests: uint64(want.requests), Tokens: uint64(want.tokens)}
	if only {
		k.NeededRequests = uint64(missing.requests)
		k.NeededTokens = uint64(missing.tokens)
	}
	return Send{To: to, Message: Message{CreditRequests: []CreditRequest{k}}}
}

// mayAsk takes an ask out of the host's budget. Accounts with several homes
// leave half of the budget's burst to the others, so that a few large accounts
// cannot spend all of it.
func (l *Limiter) mayAsk(now time.Time, a *account) bool {
	reserve := 0.0
	if len(a.others) > 1 {
		reserve = CreditRequestBurst / 2
	}
	if l.budget.TokensAt(now) < reserve+1 || !l.budget.AllowN(now, 1) {
		l.stats.CreditRequestsThrottled++
		return false
	}
	l.stats.CreditRequests++
	return true
}

// Receive takes a message of another host. It returns the messages to be sent
// and the accounts whose waiting requests can be resumed.
func (l *Limiter) Receive(now time.Time, from bbtfleet.HostID, m Message) ([]Send, []bbtfleet.AccountID) {
	var reply Message
	for _, k := range m.CreditRequests {
		if g, ok := l.lend(now, k); ok {
			reply.Grants = append(reply.Grants, g)
		}
	}
	var resumed []bbtfleet.AccountID
	for _, g := range m.Grants {
		if l.grant(now, from, g) {
			resumed = append(resumed, bbtfleet.AccountID(g.Account))
		}
	}
	if len(reply.Grants) == 0 {
		return nil, resumed
	}
	return []Send{{To: from, Message: reply}}, resumed
}

// lend answers an ask with what this host can spare, which may be nothing.
func (l *Limiter) lend(now time.Time, k CreditRequest) (Grant, bool) {
	a := l.account(now, bbtfleet.AccountID(k.Account))
	if a == nil {
		return Grant{}, false
	}
	a.used = now
	g := Grant{ID: k.ID, Account: k.Account}
	requests, tokens := bounded(k.NeededRequests), bounded(k.NeededTokens)
	if a.requests.spares(now, requests) && a.tokens.spares(now, tokens) {
		g.Requests = uint64(a.requests.lend(now, bounded(k.Requests), requests))
		g.Tokens = uint64(a.tokens.lend(now, bounded(k.Tokens), tokens))
	}
	return g, true
}

// grant takes the credit of a grant and reports whether it answers an ask.
func (l *Limiter) grant(now time.Time, from bbtfleet.HostID, g Grant) bool {
	a := l.accounts[bbtfleet.AccountID(g.Account)]
	granted := need{requests: bounded(g.Requests), tokens: bounded(g.Tokens)}
	if a == nil || !a.answer(now, g.ID, from, granted) {
		l.stats.DroppedGrants++
		return false
	}
	l.stats.Grants++
	a.requests.receive(now, granted.requests)
	a.tokens.receive(now, granted.tokens)
	return true
}

// bounded returns an amount of the wire as credit.
func bounded(n uint64) credit { return credit(min(n, maxAmount)) }
