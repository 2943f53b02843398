package bbtexec_test

import (
	"testing"
	"time"

	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtverdict"
)

func TestConnectionReplacedWhileCallsWait(t *testing.T) {
	p := newPair(t)
	waitingTicket, runningTicket := p.ticket(p.a), p.ticket(p.a)
	waiting := p.submit(p.b, bbtexec.Submit{Ticket: waitingTicket})
	running := p.submit(p.b, bbtexec.Submit{Ticket: runningTicket})
	runningOnA := p.scheduled[1]
	d, _ := p.a.Dispatch(p.now, runningOnA)
	p.step(p.a, bbtexec.PeerLost{Host: "b"})
	p.finish(runningOnA, d, "booked")
	p.wantRefusal(waiting, bbtverdict.NotRun, bbtverdict.ReasonCancelled)
	p.wantResponse(running, "booked")
	p.wantRefusal(p.submit(p.a, bbtexec.Submit{Ticket: waitingTicket}), bbtverdict.NotRun, bbtverdict.ReasonTicketVoid)
}

func TestLostPeerDoesNotAffectOtherCallers(t *testing.T) {
	p := newPair(t)
	ticket := p.ticket(p.a)
	p.submit(p.b, bbtexec.Submit{Ticket: ticket})
	local := p.submit(p.a, bbtexec.Submit{Ticket: ticket})
	p.step(p.a, bbtexec.PeerLost{Host: "b"})
	d, _ := p.a.Dispatch(p.now, p.scheduled[0])
	p.finish(p.scheduled[0], d, "booked")
	p.wantResponse(local, "booked")
}

// holdReply submits a request on host b, ends it on host a, and returns its call
// and the undelivered reply of host a.
func holdReply(p *pair) (bbtexec.CallID, bbtexec.Send) {
	id := p.submit(p.b, bbtexec.Submit{Ticket: p.ticket(p.a)})
	d, _ := p.a.Dispatch(p.now, p.scheduled[len(p.scheduled)-1])
	p.hold = true
	p.finish(p.scheduled[len(p.scheduled)-1], d, "booked")
	p.hold = false
	return id, p.held[len(p.held)-1]
}

func TestUnsentReplyIsResent(t *testing.T) {
	p := newPair(t)
	id, reply := holdReply(p)
	p.step(p.a, bbtexec.SendFailed{To: "b", Message: reply.Message})
	p.step(p.a, bbtexec.Tick{})
	p.wantResponse(id, "booked")
	p.step(p.a, bbtexec.Tick{})
	if got := p.b.Counts().StaleReplies(); got != 0 {
		t.Errorf("got %d stale replies, want none", got)
	}
}

func TestUnsentRepliesAreBounded(t *testing.T) {
	p := newPair(t)
	_, reply := holdReply(p)
	failed := bbtexec.SendFailed{To: "b", Message: reply.Message}
	p.hold = true
	for range 300 {
		p.step(p.a, failed)
	}
	if got := p.a.Counts().DroppedReplies(); got != 300-256 {
		t.Errorf("got %d replies dropped, want %d", got, 300-256)
	}
	before := p.a.Counts().DroppedReplies()
	p.advance(30 * time.Second)
	p.step(p.a, bbtexec.Tick{})
	p.step(p.a, failed)
	p.advance(30 * time.Second)
	p.step(p.a, bbtexec.Tick{})
	if got := p.a.Counts().DroppedReplies() - before; got != 1 {
		t.Errorf("got %d replies dropped after a minute, want 1", got)
	}
}
