package bbtexec

import (
	"time"

	"bluebelltray/core/bbthome"
	"bluebelltray/core/bbtledger"
	"bluebelltray/core/bbtticket"
	"bluebelltray/core/bbtverdict"
)

// submit starts the call of a caller's request.
func (e *Executor) submit(now time.Time, s Submit) {
	c := &call{
		id:             s.Call,
		account:        s.Account,
		ticket:         s.Ticket,
		key:            bbtticket.Digest(s.Account, s.Key),
		fingerprint:    s.Fingerprint,
		isFirstAttempt: s.IsFirstAttempt,
		uncounted:      s.Uncounted,
		repeatable:     s.Repeatable && s.Ticket == "",
	}
	e.calls[c.id] = c
	switch {
	case c.repeatable:
		e.emit(Schedule{Call: c.id})
	case c.ticket != "":
		e.route(now, c)
	case c.key != 0:
		e.requestTicket(now, c)
	default:
		e.refuse(c, e.issueUnkeyed(now, c, notRun(bbtverdict.ReasonTicketRequired)))
	}
}

// route passes a call to the executor that its ticket names, which is this host
// or a peer.
func (e *Executor) route(now time.Time, c *call) {
	t, err := bbtticket.Parse(c.ticket)
	if err != nil {
		e.refuse(c, notRedeemed(c.isFirstAttempt, bbtverdict.ReasonTicketInvalid))
		return
	}
	if t.Host() == e.issuer.Host() {
		e.execute(now, c)
		return
	}
	if t.Incarnation() < e.peers[t.Host()] {
		e.refuse(c, notRedeemed(c.isFirstAttempt, bbtverdict.ReasonExecutorLost))
		return
	}
	e.send(now, c, t.Host(), func(r Request) Message {
		return ForwardRequest{
			Request:     r,
			Account:     c.account,
			Ticket:      c.ticket,
			Fingerprint: c.fingerprint,
		}
	})
}

// execute redeems a call's ticket. It schedules the call if the ticket was not
// redeemed before. Otherwise it attaches the call to the scheduled one or ends it
// with the ticket's outcome.
func (e *Executor) execute(now time.Time, c *call) {
	t, refused := e.verify(now, c)
	if refused != nil {
		e.refuse(c, *refused)
		return
	}
	c.key = t.Key()
	state, match := e.ledger.Redeem(now, t.Sequence(), c.account, c.fingerprint)
	if !match {
		// The caller may mean the request that the ticket was redeemed for, which
		// may have run.
		e.refuse(c, mayHaveRun(bbtverdict.ReasonTicketMismatch))
		return
	}
	c.seq = t.Sequence()
	switch state {
	case bbtledger.Issued:
		e.attached[c.seq] = []CallID{c.id}
		e.emit(Schedule{Call: c.id})
	case bbtledger.Waiting, bbtledger.Dispatching:
		e.attached[c.seq] = append(e.attached[c.seq], c.id)
	default:
		e.endWithOutcome(now, c, state)
	}
}

// verify checks a call's ticket. It accepts an expired ticket, as the ledger
// entry may still hold its outcome.
func (e *Executor) verify(now time.Time, c *call) (bbtticket.Ticket, *refusal) {
	t, err := e.issuer.Verify(now, c.ticket, c.account)
	if err == nil {
		return t, nil
	}
	var r refusal
	switch faultOf(err) {
	case bbtticket.Expired:
		return t, nil
	case bbtticket.OtherHost, bbtticket.OtherIncarnation:
		r = notRedeemed(c.isFirstAttempt, bbtverdict.ReasonExecutorLost)
	case bbtticket.ForeignAccount:
		r = notRun(bbtverdict.ReasonTicketInvalid)
	default:
		r = notRedeemed(c.isFirstAttempt, bbtverdict.ReasonTicketInvalid)
	}
	return t, &r
}

// endWithOutcome ends a call whose ticket already has an outcome.
func (e *Executor) endWithOutcome(now time.Time, c *call, state bbtledger.State) {
	if r, ok := e.ledger.Response(c.seq, c.account); ok {
		e.respond(c, r)
		return
	}
	switch state {
	case bbtledger.Void:
		e.refuse(c, e.renew(now, c, notRun(bbtverdict.ReasonTicketVoid)))
	case bbtledger.Evicted:
		e.refuse(c, refusal{verdict: bbtverdict.Ran, reason: bbtverdict.ReasonResponseEvicted})
	default:
		e.refuse(c, e.unknownOutcome(c))
	}
}

// unknownOutcome returns the refusal of a call whose ticket has no known
// outcome.
func (e *Executor) unknownOutcome(c *call) refusal {
	if e.ledger.Contains(c.seq, c.account) {
		return mayHaveRun(bbtverdict.ReasonEndpointLost)
	}
	return notRedeemed(c.isFirstAttempt, bbtverdict.ReasonTicketExpired)
}

// issueUnkeyed adds a new ticket without a key to a refusal. If none may be
// issued, it returns a refusal with the reason for that.
func (e *Executor) issueUnkeyed(now time.Time, c *call, r refusal) refusal {
	if e.draining {
		return notRun(bbtverdict.ReasonDraining)
	}
	seq, expiry, ok := e.ledger.Issue(now, c.account)
	if !ok {
		return notRun(bbtverdict.ReasonLedgerFull)
	}
	r.ticket = e.issuer.Issue(seq, c.account, 0, expiry)
	return r
}

// renew adds a new ticket to the refusal of a call whose ticket is void, if one
// may be issued.
func (e *Executor) renew(now time.Time, c *call, r refusal) refusal {
	if e.draining {
		return r
	}
	k := bbthome.NewKey(c.account, c.key)
	if c.key != 0 && !e.registry.Renewable(now, k, c.seq) {
		return r
	}
	seq, expiry, ok := e.ledger.Issue(now, c.account)
	if !ok {
		return r
	}
	if c.key != 0 {
		e.registry.Renew(now, k, seq)
	}
	r.ticket = e.issuer.Issue(seq, c.account, c.key, expiry)
	return r
}
