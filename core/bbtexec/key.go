package bbtexec

import (
	"time"

	"bluebelltray/core/bbthome"
	"bluebelltray/core/bbtledger"
	"bluebelltray/core/bbtticket"
	"bluebelltray/core/bbtverdict"
	"github.com/cockroachdb/errors"
)

// askHome asks the home of a call's key for a ticket, unless this host knows
// of one that was presented.
func (e *Executor) askHome(now time.Time, c *call) {
	k := bbthome.NewKey(c.account, c.key)
	home := e.home.HomeOf(k)
	_, presented := e.presented(now, k)
	if presented || home == e.issuer.Host() {
		e.settle(now, c, e.issueKeyed(now, k, c.claim()))
		return
	}
	if home == "" {
		e.homeless(now, c, bbtverdict.ReasonStaleView)
		return
	}
	e.send(now, c, home, func(r Request) Message {
		return IssueRequest{Request: r, Account: c.account, Key: c.key, Claim: c.claim()}
	})
}

// homeless goes on with a call whose key's home cannot be asked. A first
// attempt gets its ticket from this host.
func (e *Executor) homeless(now time.Time, c *call, r bbtverdict.Reason) {
	if !c.first {
		e.refuse(c, mayHaveRun(r))
		return
	}
	e.settle(now, c, e.issueKeyed(now, bbthome.NewKey(c.account, c.key), bbthome.First))
}

// presented returns the sequence number of the key's newest ticket of this
// host and whether that ticket was presented and is not void.
func (e *Executor) presented(now time.Time, k bbthome.Key) (uint64, bool) {
	seq, known := e.home.NewestTicket(now, k)
	return seq, known && e.ledger.State(seq, k.Account()).Presented()
}

// settle ends a call without a ticket by its home's reply, or presents the
// ticket that the reply names.
func (e *Executor) settle(now time.Time, c *call, r IssueReply) {
	if r.Presented {
		c.ticket = r.Ticket
		c.first = false
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

// issueKeyed answers a question for a ticket of a key. Its answer names the
// key's newest ticket if that was presented; otherwise that ticket becomes
// void, so that the verdict not-run holds whatever arrives later. A ticket that
// was withdrawn is the last that its caller presented, as the caller was told
// no verdict that lets it present another.
func (e *Executor) issueKeyed(now time.Time, k bbthome.Key, c bbthome.Claim) IssueReply {
	seq, presented := e.presented(now, k)
	if presented && (c != bbthome.First || e.ledger.Contains(seq, k.Account())) {
		return IssueReply{Ticket: e.issuer.Issue(seq, k.Account(), k.Digest(), now), Presented: true}
	}
	if c == bbthome.Resent && e.ledger.State(seq, k.Account()) == bbtledger.Withdrawn {
		c = bbthome.First
	}
	switch e.home.Decide(now, k, c) {
	case bbthome.NotHome:
		return replyOf(mayHaveRun(bbtverdict.ReasonStaleView))
	case bbthome.Unsettled:
		return replyOf(mayHaveRun(bbtverdict.ReasonKeyUnsettled))
	}
	e.ledger.Void(seq, k.Account())
	return e.issueFresh(now, k, c)
}

// issueFresh issues a ticket for a key whose earlier tickets never ran.
func (e *Executor) issueFresh(now time.Time, k bbthome.Key, c bbthome.Claim) IssueReply {
	if e.draining {
		return replyOf(notRun(bbtverdict.ReasonDraining))
	}
	seq, expiry, ok := e.ledger.Issue(now, k.Account())
	if !ok {
		return replyOf(notRun(bbtverdict.ReasonLedgerFull))
	}
	e.home.Record(now, k, seq, c)
	r := replyOf(notRun(bbtverdict.ReasonTicketRequired))
	r.Ticket = e.issuer.Issue(seq, k.Account(), k.Digest(), expiry)
	return r
}

// replyOf returns a refusal as a reply without its request.
func replyOf(r refusal) IssueReply {
	return IssueReply{
		Verdict:      r.verdict,
		Reason:       r.reason,
		RetryAfterMS: r.retryAfter.Milliseconds(),
		Ticket:       r.ticket,
	}
}

// faultOf returns the fault of a ticket's error.
func faultOf(err error) bbtticket.Fault {
	var t *bbtticket.Error
	if errors.As(err, &t) {
		return t.Fault()
	}
	return bbtticket.Malformed
}
