package bbtexec

import (
	"time"

	"bluebelltray/core/bbthome"
	"bluebelltray/core/bbtledger"
	"bluebelltray/core/bbtticket"
	"bluebelltray/core/bbtverdict"
	"github.com/cockroachdb/errors"
)

// requestTicket asks the home of a call's key for a ticket. This host decides
// itself if it is the home or if its newest ticket of the key was redeemed.
func (e *Executor) requestTicket(now time.Time, c *call) {
	k := bbthome.NewKey(c.account, c.key)
	home := e.registry.HomeOf(k)
	_, redeemed := e.redeemed(now, k)
	if redeemed || home == e.issuer.Host() {
		e.applyIssueReply(now, c, e.issueKeyed(now, k, c.claim()))
		return
	}
	if home == "" {
		e.homeUnavailable(now, c, bbtverdict.ReasonStaleView)
		return
	}
	e.send(now, c, home, func(r Request) Message {
		return IssueRequest{Request: r, Account: c.account, Key: c.key, Claim: c.claim()}
	})
}

// homeUnavailable handles a call whose key's home cannot be asked. A first
// attempt gets its ticket from this host, any other is refused.
func (e *Executor) homeUnavailable(now time.Time, c *call, r bbtverdict.Reason) {
	if !c.isFirstAttempt {
		e.refuse(c, mayHaveRun(r))
		return
	}
	e.applyIssueReply(now, c, e.issueKeyed(now, bbthome.NewKey(c.account, c.key), bbthome.First))
}

// redeemed returns the sequence number of the key's newest ticket from this
// host, and whether that ticket was redeemed and is neither void nor withdrawn.
// A ticket that the ledger no longer holds counts as redeemed.
func (e *Executor) redeemed(now time.Time, k bbthome.Key) (uint64, bool) {
	seq, known := e.registry.NewestTicket(now, k)
	return seq, known && e.ledger.State(seq, k.Account()).Redeemed()
}

// applyIssueReply handles the reply to a ticket request, which is from the key's
// home or from this host. If the reply names a ticket that was redeemed before,
// the call is routed to that ticket's executor; otherwise it is refused with the
// reply's ticket and reason.
func (e *Executor) applyIssueReply(now time.Time, c *call, r IssueReply) {
	if r.Redeemed {
		c.ticket = r.Ticket
		c.isFirstAttempt = false
		e.route(now, c)
		return
	}
	e.refuse(c, refusal{
		verdict:    r.Verdict,
		reason:     r.Reason,
		retryAfter: time.Duration(r.RetryAfterMS) * time.Millisecond,
		ticket:     r.Ticket,
	})
}

// issueKeyed answers a request for a ticket of a key. If the key's newest ticket
// was redeemed, the reply names that ticket, except to a first attempt if the
// ledger no longer holds the ticket. Otherwise, if a new ticket is allowed, the
// newest one is voided first, so that a request that arrives with it later does
// not run and the verdict not-run stays true. A resend after a withdrawn ticket
// is treated as a first attempt: the withdrawn request never runs, and its caller
// has sent no later ticket, as it disconnected before a verdict allowed that.
func (e *Executor) issueKeyed(now time.Time, k bbthome.Key, c bbthome.Claim) IssueReply {
	seq, redeemed := e.redeemed(now, k)
	if redeemed && (c != bbthome.First || e.ledger.Contains(seq, k.Account())) {
		// The expiry does not matter, as verify accepts an expired ticket.
		return IssueReply{Ticket: e.issuer.Issue(seq, k.Account(), k.Digest(), now), Redeemed: true}
	}
	if c == bbthome.Resent && e.ledger.State(seq, k.Account()) == bbtledger.Withdrawn {
		c = bbthome.First
	}
	switch e.registry.Decide(now, k, c) {
	case bbthome.NotHome:
		return newIssueReply(mayHaveRun(bbtverdict.ReasonStaleView))
	case bbthome.Unsettled:
		return newIssueReply(mayHaveRun(bbtverdict.ReasonKeyUnsettled))
	}
	e.ledger.Void(seq, k.Account())
	return e.issueNew(now, k, c)
}

// issueNew issues a ticket for a key. It must only be called if no request with
// an earlier ticket of the key ran or can still run.
func (e *Executor) issueNew(now time.Time, k bbthome.Key, c bbthome.Claim) IssueReply {
	if e.draining {
		return newIssueReply(notRun(bbtverdict.ReasonDraining))
	}
	seq, expiry, ok := e.ledger.Issue(now, k.Account())
	if !ok {
		return newIssueReply(notRun(bbtverdict.ReasonLedgerFull))
	}
	e.registry.Record(now, k, seq, c)
	r := newIssueReply(notRun(bbtverdict.ReasonTicketRequired))
	r.Ticket = e.issuer.Issue(seq, k.Account(), k.Digest(), expiry)
	return r
}

// newIssueReply converts a refusal to a reply. The Request field is not set.
func newIssueReply(r refusal) IssueReply {
	return IssueReply{
		Verdict:      r.verdict,
		Reason:       r.reason,
		RetryAfterMS: r.retryAfter.Milliseconds(),
		Ticket:       r.ticket,
	}
}

// faultOf returns the fault of an error from bbtticket.
func faultOf(err error) bbtticket.Fault {
	var t *bbtticket.Error
	if errors.As(err, &t) {
		return t.Fault()
	}
	return bbtticket.Malformed
}
