package bbtexec

import (
	"maps"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtledger"
	"bluebelltray/core/bbtverdict"
)

// sendFailed handles a message that could not be sent. The call of an
// IssueRequest is handled as if its key's home were unavailable, that of a
// ForwardRequest is refused. A ForwardReply is queued for the next tick. Other
// messages are dropped.
func (e *Executor) sendFailed(now time.Time, ev SendFailed) {
	switch m := ev.Message.(type) {
	case IssueRequest:
		if c := e.takeFailed(m.Request.ID); c != nil {
			e.homeUnavailable(now, c, bbtverdict.ReasonKeyHomeUnreachable)
		}
	case ForwardRequest:
		if c := e.takeFailed(m.Request.ID); c != nil {
			e.refuse(c, notRedeemed(c.isFirstAttempt, bbtverdict.ReasonExecutorLost))
		}
	case ForwardReply:
		e.unsent.add(now, origin{host: ev.To, request: m.Request}, m)
	}
}

// takeFailed removes a pending message that could not be sent and returns its
// call, or nil if there is none.
func (e *Executor) takeFailed(id uint64) *call {
	p, ok := e.pending[id]
	if !ok {
		return nil
	}
	delete(e.pending, id)
	return e.calls[p.call]
}

// peerLost handles the calls that wait for a reply from a lost peer, and those
// that the peer forwarded.
func (e *Executor) peerLost(now time.Time, h bbtfleet.HostID) {
	for _, id := range slices.Sorted(maps.Keys(e.pending)) {
		p := e.pending[id]
		if p.to != h {
			continue
		}
		delete(e.pending, id)
		c := e.calls[p.call]
		switch {
		case c == nil:
		case c.ticket == "":
			e.homeUnavailable(now, c, bbtverdict.ReasonKeyHomeUnreachable)
		default:
			e.refuse(c, mayHaveRun(bbtverdict.ReasonExecutorLost))
		}
	}
	e.originLost(now, h)
}

// originLost cancels the waiting requests whose callers are all connected to a
// lost peer. Each call still gets a reply, as the peer may have forwarded some
// of them over a newer connection. Dispatched requests run to completion and are
// answered then.
func (e *Executor) originLost(now time.Time, h bbtfleet.HostID) {
	for _, id := range slices.Sorted(maps.Keys(e.calls)) {
		c := e.calls[id]
		if c == nil || c.origin.host != h || !e.onlyFrom(c.seq, h) {
			continue
		}
		if e.ledger.State(c.seq, c.account) != bbtledger.Waiting {
			continue
		}
		e.emit(Cancel{Call: e.attached[c.seq][0]})
		e.rejected(now, Rejected{Call: id, Reason: bbtverdict.ReasonCancelled})
	}
}

// onlyFrom reports whether all callers of a ledger entry that have not
// disconnected are connected to the given peer.
func (e *Executor) onlyFrom(seq uint64, h bbtfleet.HostID) bool {
	for _, id := range e.attached[seq] {
		if c := e.calls[id]; !c.callerGone && c.origin.host != h {
			return false
		}
	}
	return true
}
