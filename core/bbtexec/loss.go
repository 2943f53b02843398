package bbtexec

import (
	"maps"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtledger"
	"bluebelltray/core/bbtverdict"
)

// sendFailed ends the call of a question that did not leave, and holds a reply
// for the next tick.
func (e *Executor) sendFailed(now time.Time, ev SendFailed) {
	switch m := ev.Message.(type) {
	case IssueRequest:
		if c := e.unreached(m.Request.ID); c != nil {
			e.homeless(now, c, bbtverdict.ReasonKeyHomeUnreachable)
		}
	case ForwardRequest:
		if c := e.unreached(m.Request.ID); c != nil {
			e.refuse(c, notReached(c.first, bbtverdict.ReasonExecutorLost))
		}
	case ForwardReply:
		e.unsent.keep(now, origin{host: ev.To, request: m.Request}, m)
	}
}

// unreached returns the call of a message that reached nobody, or nil.
func (e *Executor) unreached(id uint64) *call {
	p, ok := e.pending[id]
	if !ok {
		return nil
	}
	delete(e.pending, id)
	return e.calls[p.call]
}

// peerLost ends the calls whose reply will not come.
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
			e.homeless(now, c, bbtverdict.ReasonKeyHomeUnreachable)
		default:
			e.refuse(c, mayHaveRun(bbtverdict.ReasonExecutorLost))
		}
	}
	e.originLost(now, h)
}

// originLost refuses what waits only for callers of a lost peer. The peer may
// have passed some of it on over a newer connection, so each call gets a
// reply. What runs goes on and replies in the end.
func (e *Executor) originLost(now time.Time, h bbtfleet.HostID) {
	for _, id := range slices.Sorted(maps.Keys(e.calls)) {
		c := e.calls[id]
		if c == nil || c.origin.host != h || !e.onlyFrom(c.seq, h) {
			continue
		}
		if e.ledger.State(c.seq, c.account) != bbtledger.Waiting {
			continue
		}
		e.do(Cancel{Call: e.attached[c.seq][0]})
		e.rejected(now, Rejected{Call: id, Reason: bbtverdict.ReasonCancelled})
	}
}

// onlyFrom reports whether each caller that waits for a ledger entry is one of
// the given peer.
func (e *Executor) onlyFrom(seq uint64, h bbtfleet.HostID) bool {
	for _, id := range e.attached[seq] {
		if c := e.calls[id]; !c.gone && c.origin.host != h {
			return false
		}
	}
	return true
}
