package bbtexec

import (
	"maps"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbthome"
	"bluebelltray/core/bbtledger"
	"bluebelltray/core/bbtverdict"
)

// peerSeen remembers the newest process of a peer and ends the calls that wait
// for a former one.
func (e *Executor) peerSeen(now time.Time, ev PeerIncarnation) {
	if ev.Incarnation <= e.peers[ev.Host] {
		return
	}
	known := e.peers[ev.Host] != 0
	e.peers[ev.Host] = ev.Incarnation
	if known {
		e.peerLost(now, ev.Host)
	}
}

// received takes a peer's message.
func (e *Executor) received(now time.Time, ev Received) {
	switch m := ev.Message.(type) {
	case IssueRequest:
		r := e.issueKeyed(now, bbthome.NewKey(m.Account, m.Key), m.Claim)
		r.Request = m.Request
		e.do(Send{To: ev.From, Message: r})
	case IssueReply:
		e.issueReplied(now, ev.From, m)
	case ForwardRequest:
		e.forwarded(now, ev, m)
	case ForwardReply:
		e.forwardReplied(ev.From, m)
	case ForwardCancel:
		e.forwardCancelled(ev.From, m)
	}
}

// forwarded starts a call that a peer passed on.
func (e *Executor) forwarded(now time.Time, ev Received, m ForwardRequest) {
	c := &call{
		id:          ev.Call,
		account:     m.Account,
		ticket:      m.Ticket,
		fingerprint: m.Fingerprint,
		origin:      origin{host: ev.From, request: m.Request},
	}
	e.calls[c.id] = c
	e.execute(now, c)
}

// forwardCancelled forgets the call that a peer withdrew.
func (e *Executor) forwardCancelled(from bbtfleet.HostID, m ForwardCancel) {
	for _, id := range slices.Sorted(maps.Keys(e.calls)) {
		if c := e.calls[id]; c.origin == (origin{host: from, request: m.Request}) {
			e.callerGone(id)
			return
		}
	}
}

// take returns the call that a reply of a peer belongs to, or nil if the reply
// is late, doubled, crossed or for a former process.
func (e *Executor) take(from bbtfleet.HostID, r Request) *call {
	p, ok := e.pending[r.ID]
	if !ok || r.Incarnation != e.issuer.Incarnation() || p.to != from {
		e.counts.staleReplies++
		return nil
	}
	delete(e.pending, r.ID)
	return e.calls[p.call]
}

// issueReplied goes on with a call by its home's reply. A ticket that took too
// long is not handed out: its home may no longer be the key's home. A first
// attempt that the home has no ticket for, as it drains or is full, gets one
// from this host.
func (e *Executor) issueReplied(now time.Time, from bbtfleet.HostID, m IssueReply) {
	c := e.take(from, m.Request)
	if c == nil {
		return
	}
	late := now.Sub(c.asked) >= IssueTimeout
	if late {
		e.counts.staleReplies++
	}
	if late || c.first && m.Ticket == "" {
		e.homeless(now, c, bbtverdict.ReasonKeyHomeUnreachable)
		return
	}
	e.settle(now, c, m)
}

// forwardReplied ends a call by its executor's reply.
func (e *Executor) forwardReplied(from bbtfleet.HostID, m ForwardReply) {
	c := e.take(from, m.Request)
	if c == nil {
		return
	}
	if m.Status != 0 {
		e.answer(c, bbtledger.NewResponse(m.Status, m.ContentType, m.Body))
		return
	}
	e.refuse(c, refusal{
		verdict:    m.Verdict,
		reason:     m.Reason,
		retryAfter: time.Duration(m.RetryAfterMS) * time.Millisecond,
		ticket:     m.Ticket,
	})
}

// withdraw forgets a call that waits for a peer and tells the peer.
func (e *Executor) withdraw(c *call) {
	delete(e.calls, c.id)
	for _, id := range slices.Sorted(maps.Keys(e.pending)) {
		p := e.pending[id]
		if p.call != c.id {
			continue
		}
		delete(e.pending, id)
		if c.ticket != "" {
			r := Request{Incarnation: e.issuer.Incarnation(), ID: id}
			e.do(Send{To: p.to, Message: ForwardCancel{Request: r}})
		}
	}
}

// tick expires what is over and sends held replies again.
func (e *Executor) tick(now time.Time) {
	for _, s := range e.unsent.take(now) {
		e.do(s)
	}
	e.ledger.Expire(now)
	e.home.Expire(now)
	for _, id := range slices.Sorted(maps.Keys(e.pending)) {
		c := e.calls[e.pending[id].call]
		if c == nil || c.ticket != "" || now.Sub(c.asked) < IssueTimeout {
			continue
		}
		delete(e.pending, id)
		e.homeless(now, c, bbtverdict.ReasonKeyHomeUnreachable)
	}
}
