package bbtlimit

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// requestCredit requests credit from homes of the account and returns the
// messages. If credit is also wanted for expected requests, all homes of the
// round are asked for an equal share; otherwise one home at a time is asked for
// the shortage.
func (l *Limiter) requestCredit(now time.Time, a *account, tokens int) []Send {
	if !now.Before(a.nextRound()) {
		a.roundStart = now
		a.shortfalls = 0
	}
	shortage := a.shortage(now, tokens)
	want := a.want(now, shortage, tokens)
	n := 1
	if want != shortage {
		n = a.fanout()
	}
	want = want.split(n)
	var sends []Send
	for range n {
		if !l.allowCreditRequest(now, a) {
			a.shortfalls = a.fanout()
			break
		}
		sends = append(sends, l.requestFrom(now, a, want, shortage, n == 1))
	}
	return sends
}

// requestFrom requests credit from the next home of the account. If it is the
// only home asked, the request states the needed minimum.
func (l *Limiter) requestFrom(now time.Time, a *account, want, shortage credits, only bool) Send {
	to := a.remoteHomes[a.nextHome%len(a.remoteHomes)]
	a.nextHome++
	l.nextID++
	a.pending = append(a.pending, pendingRequest{id: l.nextID, to: to, sentAt: now, want: want})
	req := CreditRequest{ID: l.nextID, Account: string(a.id), Requests: uint64(want.requests), Tokens: uint64(want.tokens)}
	if only {
		req.NeededRequests = uint64(shortage.requests)
		req.NeededTokens = uint64(shortage.tokens)
	}
	return Send{To: to, Message: Message{CreditRequests: []CreditRequest{req}}}
}

// allowCreditRequest reports whether a credit request may be sent now and, if
// so, takes it out of the budget of the host. Accounts with several homes leave
// half of the burst to other accounts, so that a few large accounts cannot
// exhaust it.
func (l *Limiter) allowCreditRequest(now time.Time, a *account) bool {
	reserve := 0.0
	if len(a.remoteHomes) > 1 {
		reserve = CreditRequestBurst / 2
	}
	if l.creditRequestBudget.TokensAt(now) < reserve+1 || !l.creditRequestBudget.AllowN(now, 1) {
		l.stats.CreditRequestsThrottled++
		return false
	}
	l.stats.CreditRequests++
	return true
}

// Receive handles a message from another host. It returns the messages to send
// and the accounts whose waiting requests can be resumed.
func (l *Limiter) Receive(now time.Time, from bbtfleet.HostID, m Message) ([]Send, []bbtfleet.AccountID) {
	var reply Message
	for _, req := range m.CreditRequests {
		if g, ok := l.handleCreditRequest(now, req); ok {
			reply.Grants = append(reply.Grants, g)
		}
	}
	var resumed []bbtfleet.AccountID
	for _, g := range m.Grants {
		if l.handleGrant(now, from, g) {
			resumed = append(resumed, bbtfleet.AccountID(g.Account))
		}
	}
	if len(reply.Grants) == 0 {
		return nil, resumed
	}
	return []Send{{To: from, Message: reply}}, resumed
}

// handleCreditRequest answers a credit request with the credit that this host
// can spare, which may be none. It returns false for an account without a
// contract.
func (l *Limiter) handleCreditRequest(now time.Time, req CreditRequest) (Grant, bool) {
	a := l.account(now, bbtfleet.AccountID(req.Account))
	if a == nil {
		return Grant{}, false
	}
	a.lastUsed = now
	g := Grant{ID: req.ID, Account: req.Account}
	neededRequests, neededTokens := toCredit(req.NeededRequests), toCredit(req.NeededTokens)
	if a.requests.canGrant(now, neededRequests) && a.tokens.canGrant(now, neededTokens) {
		g.Requests = uint64(a.requests.grant(now, toCredit(req.Requests), neededRequests))
		g.Tokens = uint64(a.tokens.grant(now, toCredit(req.Tokens), neededTokens))
	}
	return g, true
}

// handleGrant adds the credit of a grant and reports whether it answers a
// pending credit request.
func (l *Limiter) handleGrant(now time.Time, from bbtfleet.HostID, g Grant) bool {
	a := l.accounts[bbtfleet.AccountID(g.Account)]
	granted := credits{requests: toCredit(g.Requests), tokens: toCredit(g.Tokens)}
	if a == nil || !a.takePending(now, g.ID, from, granted) {
		l.stats.DroppedGrants++
		return false
	}
	l.stats.Grants++
	a.requests.addGranted(now, granted.requests)
	a.tokens.addGranted(now, granted.tokens)
	return true
}

// toCredit converts an amount from a message to credit, limited to maxAmount.
func toCredit(n uint64) credit { return credit(min(n, maxAmount)) }
