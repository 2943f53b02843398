package bbtexec_test

import (
	"testing"
	"time"

	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtverdict"
)

func TestConnectionReplacedWhileCallsWait(t *testing.T) {
	p := newPair(t)
	waits, runs := p.ticket(p.a), p.ticket(p.a)
	waiting := p.submit(p.b, bbtexec.Submit{Ticket: waits})
	running := p.submit(p.b, bbtexec.Submit{Ticket: runs})
	lead := p.ran[1]
	d, _ := p.a.Dispatch(p.now, lead)
	p.step(p.a, bbtexec.PeerLost{Host: "b"})
	p.finish(lead, d, "booked")
	p.wantRefusal(waiting, bbtverdict.NotRun, bbtverdict.ReasonCancelled)
	p.wantAnswer(running, "booked")
	p.wantRefusal(p.submit(p.a, bbtexec.Submit{Ticket: waits}), bbtverdict.NotRun, bbtverdict.ReasonTicketVoid)
}

func TestLostPeerLeavesOtherCallersAlone(t *testing.T) {
	p := newPair(t)
	ticket := p.ticket(p.a)
	p.submit(p.b, bbtexec.Submit{Ticket: ticket})
	local := p.submit(p.a, bbtexec.Submit{Ticket: ticket})
	p.step(p.a, bbtexec.PeerLost{Host: "b"})
	d, _ := p.a.Dispatch(p.now, p.ran[0])
	p.finish(p.ran[0], d, "booked")
	p.wantAnswer(local, "booked")
}

// answerHeld lets host a answer a call of host b and returns the reply.
func answerHeld(p *pair) (bbtexec.CallID, bbtexec.Send) {
	id := p.submit(p.b, bbtexec.Submit{Ticket: p.ticket(p.a)})
	d, _ := p.a.Dispatch(p.now, p.ran[len(p.ran)-1])
	p.hold = true
	p.finish(p.ran[len(p.ran)-1], d, "booked")
	p.hold = false
	return id, p.held[len(p.held)-1]
}

func TestReplyThatCouldNotBeSentIsSentLater(t *testing.T) {
	p := newPair(t)
	id, reply := answerHeld(p)
	p.step(p.a, bbtexec.SendFailed{To: "b", Message: reply.Message})
	p.step(p.a, bbtexec.Tick{})
	p.wantAnswer(id, "booked")
	p.step(p.a, bbtexec.Tick{})
	if got := p.b.Counts().StaleReplies(); got != 0 {
		t.Errorf("got %d replies too many, want none", got)
	}
}

func TestUnsentRepliesAreBounded(t *testing.T) {
	p := newPair(t)
	_, reply := answerHeld(p)
	failed := bbtexec.SendFailed{To: "b", Message: reply.Message}
	p.hold = true
	for range 300 {
		p.step(p.a, failed)
	}
	if got := p.a.Counts().DroppedReplies(); got != 300-256 {
		t.Errorf("got %d replies given up, want %d", got, 300-256)
	}
	before := p.a.Counts().DroppedReplies()
	p.pass(30 * time.Second)
	p.step(p.a, bbtexec.Tick{})
	p.step(p.a, failed)
	p.pass(30 * time.Second)
	p.step(p.a, bbtexec.Tick{})
	if got := p.a.Counts().DroppedReplies() - before; got != 1 {
		t.Errorf("got %d replies given up after a minute, want 1", got)
	}
}
