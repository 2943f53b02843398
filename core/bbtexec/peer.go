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

// peerIncarnation records the newest incarnation of a peer. If it replaces an
// older one, the older process is handled as a lost peer.
func (e *Executor) peerIncarnation(now time.Time, ev PeerIncarnation) {
	if ev.Incarnation <= e.peers[ev.Host] {
		return
	}
	known := e.peers[ev.Host] != 0
	e.peers[ev.Host] = ev.Incarnation
	if known {
		e.peerLost(now, ev.Host)
	}
}

// received handles a message from a peer.
func (e *Executor) received(now time.Time, ev MessageReceived) {
	switch m := ev.Message.(type) {
	case IssueRequest:
		r := e.issueKeyed(now, bbthome.NewKey(m.Account, m.Key), m.Claim)
		r.Request = m.Request
		e.emit(Send{To: ev.From, Message: r})
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

// forwarded starts a call that a peer forwarded.
func (e *Executor) forwarded(now time.Time, ev MessageReceived, m ForwardRequest) {
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

// forwardCancelled ends the call that a peer cancelled.
func (e *Executor) forwardCancelled(from bbtfleet.HostID, m ForwardCancel) {
	for _, id := range slices.Sorted(maps.Keys(e.calls)) {
		if c := e.calls[id]; c.origin == (origin{host: from, request: m.Request}) {
			e.callerDisconnected(id)
			return
		}
	}
}

// takePending removes the pending message that a reply belongs to and returns
// its call. It returns nil if the call has ended, or if the reply is late,
// duplicated, from the wrong peer, or meant for a previous process.
func (e *Executor) takePending(from bbtfleet.HostID, r Request) *call {
	p, ok := e.pending[r.ID]
	if !ok || r.Incarnation != e.issuer.Incarnation() || p.to != from {
		e.counts.staleReplies++
		return nil
	}
	delete(e.pending, r.ID)
	return e.calls[p.call]
}

// issueReplied handles the reply of a key's home. A ticket that took too long is
// not passed to the caller, as the host that issued it may no longer be the
// key's home. If the home issued no ticket to a first attempt, because it drains
// or its ledger is full, this host issues one.
func (e *Executor) issueReplied(now time.Time, from bbtfleet.HostID, m IssueReply) {
	c := e.takePending(from, m.Request)
	if c == nil {
		return
	}
	late := now.Sub(c.sentAt) >= IssueTimeout
	if late {
		e.counts.staleReplies++
	}
	if late || c.isFirstAttempt && m.Ticket == "" {
		e.homeUnavailable(now, c, bbtverdict.ReasonKeyHomeUnreachable)
		return
	}
	e.applyIssueReply(now, c, m)
}

// forwardReplied ends a forwarded call with its executor's reply.
func (e *Executor) forwardReplied(from bbtfleet.HostID, m ForwardReply) {
	c := e.takePending(from, m.Request)
	if c == nil {
		return
	}
	if m.Status != 0 {
		e.respond(c, bbtledger.NewResponse(m.Status, m.ContentType, m.Body))
		return
	}
	e.refuse(c, refusal{
		verdict:    m.Verdict,
		reason:     m.Reason,
		retryAfter: time.Duration(m.RetryAfterMS) * time.Millisecond,
		ticket:     m.Ticket,
	})
}

// cancelPending removes a call that waits for a peer and tells the peer if the
// call was forwarded.
func (e *Executor) cancelPending(c *call) {
	delete(e.calls, c.id)
	for _, id := range slices.Sorted(maps.Keys(e.pending)) {
		p := e.pending[id]
		if p.call != c.id {
			continue
		}
		delete(e.pending, id)
		if c.ticket != "" {
			r := Request{Incarnation: e.issuer.Incarnation(), ID: id}
			e.emit(Send{To: p.to, Message: ForwardCancel{Request: r}})
		}
	}
}

// tick resends queued replies, removes expired tickets and keys, and handles
// ticket requests that timed out.
func (e *Executor) tick(now time.Time) {
	for _, s := range e.unsent.take(now) {
		e.emit(s)
	}
	e.ledger.Expire(now)
	e.registry.Expire(now)
	for _, id := range slices.Sorted(maps.Keys(e.pending)) {
		c := e.calls[e.pending[id].call]
		if c == nil || c.ticket != "" || now.Sub(c.sentAt) < IssueTimeout {
			continue
		}
		delete(e.pending, id)
		e.homeUnavailable(now, c, bbtverdict.ReasonKeyHomeUnreachable)
	}
}
