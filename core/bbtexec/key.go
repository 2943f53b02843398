package bbtexec

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbthome"
	"bluebelltray/core/bbtticket"
	"bluebelltray/core/bbtverdict"
	"github.com/cockroachdb/errors"
)

// askHome asks the home of a call's key for a ticket.
func (e *Executor) askHome(now time.Time, c *call) {
	home := e.home.HomeOf(bbthome.NewKey(c.account, c.key))
	switch home {
	case "":
		e.refuse(c, notReached(c.first, bbtverdict.ReasonViewStale))
	case e.issuer.Host():
		e.settle(now, c, e.issueKeyed(now, c.account, c.key, c.first))
	default:
		e.send(now, c, home, func(r Request) Message {
			return IssueRequest{Request: r, Account: c.account, Key: c.key, First: c.first}
		})
	}
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

// issueKeyed answers as the home of a key. Its answer names the key's newest
// ticket if that was presented; otherwise that ticket becomes void, so that
// the verdict not-run holds whatever arrives later.
func (e *Executor) issueKeyed(now time.Time, a bbtfleet.AccountID, d bbtticket.KeyDigest, first bool) IssueReply {
	k := bbthome.NewKey(a, d)
	seq, known := e.home.Newest(now, k)
	if known && e.ledger.State(seq, a).Presented() {
		return IssueReply{Ticket: e.issuer.Issue(seq, a, d, now), Presented: true}
	}
	decision := e.home.Decide(now, k, first)
	switch decision.Permission() {
	case bbthome.NotHome:
		return replyOf(notReached(first, bbtverdict.ReasonViewStale))
	case bbthome.Unsettled:
		return replyOf(mayHaveRun(bbtverdict.ReasonKeyUnsettled))
	}
	if known {
		e.ledger.Void(seq, a)
	}
	if decision.Permission() == bbthome.NotYet {
		r := notRun(bbtverdict.ReasonViewStale)
		r.retryAfter = decision.Wait()
		return replyOf(r)
	}
	return e.issueFresh(now, k)
}

// issueFresh issues a ticket for a key whose earlier tickets never ran.
func (e *Executor) issueFresh(now time.Time, k bbthome.Key) IssueReply {
	if e.draining {
		return replyOf(notRun(bbtverdict.ReasonDraining))
	}
	seq, expiry, ok := e.ledger.Issue(now, k.Account())
	if !ok {
		return replyOf(notRun(bbtverdict.ReasonLedgerFull))
	}
	e.home.Remember(now, k, seq)
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
