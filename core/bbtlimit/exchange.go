package bbtlimit

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// ask starts a round of asks for the account unless the last one was a short
// time ago, and returns the messages.
func (l *Limiter) ask(now time.Time, a *account, tokens int) []Send {
	n := min(len(a.others), AskFanout)
	if n == 0 || !a.asked.IsZero() && now.Sub(a.asked) < AskPeriod {
		return nil
	}
	requests := a.requests.want(now, oneRequest)
	credits := a.tokens.want(now, float64(tokens))
	a.asked = now
	var sends []Send
	for range n {
		if !l.mayAsk(now, a) {
			break
		}
		to := a.others[a.turn%len(a.others)]
		a.turn++
		l.nextID++
		a.asks = append(a.asks, ask{id: l.nextID, to: to, at: now})
		k := Ask{ID: l.nextID, Account: string(a.id), Requests: share(requests, n), Tokens: share(credits, n)}
		sends = append(sends, Send{To: to, Message: Message{Asks: []Ask{k}}})
	}
	return sends
}

// mayAsk takes an ask out of the host's budget. Accounts with several homes
// leave half of the budget's burst to the others, so that a few large accounts
// cannot spend all of it.
func (l *Limiter) mayAsk(now time.Time, a *account) bool {
	reserve := 0.0
	if len(a.others) > 1 {
		reserve = AskBurst / 2
	}
	if l.budget.TokensAt(now) < reserve+1 || !l.budget.AllowN(now, 1) {
		l.stats.AsksHeld++
		return false
	}
	l.stats.Asks++
	return true
}

// share returns one of n equal parts of a credit, rounded up.
func share(c credit, n int) uint64 { return uint64((c + credit(n) - 1) / credit(n)) }

// Receive takes a message of another host. It returns the messages to be sent
// and the accounts whose waiting requests can be resumed.
func (l *Limiter) Receive(now time.Time, from bbtfleet.HostID, m Message) ([]Send, []bbtfleet.AccountID) {
	var reply Message
	for _, k := range m.Asks {
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
func (l *Limiter) lend(now time.Time, k Ask) (Grant, bool) {
	a := l.account(now, bbtfleet.AccountID(k.Account))
	if a == nil {
		return Grant{}, false
	}
	a.used = now
	return Grant{
		ID:       k.ID,
		Account:  k.Account,
		Requests: uint64(a.requests.lend(now, bounded(k.Requests))),
		Tokens:   uint64(a.tokens.lend(now, bounded(k.Tokens))),
	}, true
}

// grant takes the credit of a grant and reports whether it answers an ask.
func (l *Limiter) grant(now time.Time, from bbtfleet.HostID, g Grant) bool {
	a := l.accounts[bbtfleet.AccountID(g.Account)]
	if a == nil || !a.answer(now, g.ID, from) {
		l.stats.LateGrants++
		return false
	}
	l.stats.Grants++
	a.requests.receive(now, bounded(g.Requests))
	a.tokens.receive(now, bounded(g.Tokens))
	return true
}

// bounded returns an amount of the wire as credit.
func bounded(n uint64) credit { return credit(min(n, maxAmount)) }
