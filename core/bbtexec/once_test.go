package bbtexec_test

import (
	"testing"
	"time"

	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtledger"
	"bluebelltray/core/bbtticket"
	"bluebelltray/core/bbtverdict"
)

func TestResendJoinsCallAndGetsResponse(t *testing.T) {
	p := newPair(t)
	ticket := p.ticket(p.a)
	waiting := p.submit(p.a, bbtexec.Submit{Ticket: ticket})
	joined := p.submit(p.b, bbtexec.Submit{Ticket: ticket})
	d, _ := p.a.Dispatch(p.now, waiting)
	late := p.submit(p.b, bbtexec.Submit{Ticket: ticket})
	p.finish(waiting, d, "booked")
	after := p.submit(p.b, bbtexec.Submit{Ticket: ticket})
	for _, id := range []bbtexec.CallID{waiting, joined, late, after} {
		p.wantResponse(id, "booked")
	}
	p.wantScheduled(1)
}

func TestResendByKeyJoinsCallOnAnotherHost(t *testing.T) {
	p := newPair(t)
	refused := p.submit(p.b, bbtexec.Submit{Key: "booking-1", IsFirstAttempt: true})
	p.wantRefusal(refused, bbtverdict.NotRun, bbtverdict.ReasonTicketRequired)
	id, d := p.start(p.refusals[refused].Ticket)
	resent := p.submit(p.b, bbtexec.Submit{Key: "booking-1"})
	p.finish(id, d, "booked")
	p.wantResponse(resent, "booked")
	p.wantResponse(p.submit(p.b, bbtexec.Submit{Key: "booking-1"}), "booked")
	p.wantScheduled(1)
}

func TestVerdictAfterExecutorRestart(t *testing.T) {
	p := newPair(t)
	ticket := p.ticket(p.a)
	p.start(ticket)
	p.a = p.newProcess("a", 2)
	lost := bbtverdict.ReasonExecutorLost
	p.wantRefusal(p.submit(p.b, bbtexec.Submit{Ticket: ticket}), bbtverdict.MayHaveRun, lost)
	p.wantRefusal(p.submit(p.a, bbtexec.Submit{Ticket: ticket}), bbtverdict.MayHaveRun, lost)
	p.wantRefusal(p.submit(p.a, bbtexec.Submit{Ticket: ticket, IsFirstAttempt: true}), bbtverdict.NotRun, lost)
	p.step(p.b, bbtexec.PeerIncarnation{Host: "a", Incarnation: 2})
	p.wantRefusal(p.submit(p.b, bbtexec.Submit{Ticket: ticket, IsFirstAttempt: true}), bbtverdict.NotRun, lost)
	p.wantScheduled(1)
}

func TestResendByKeyAfterHomeRestart(t *testing.T) {
	p := newPair(t)
	uncounted := bbtexec.Submit{Key: "booking-1", Uncounted: true}
	p.start(p.refusals[p.submit(p.a, uncounted)].Ticket)
	counted := bbtexec.Submit{Key: "booking-2", IsFirstAttempt: true}
	p.start(p.refusals[p.submit(p.b, counted)].Ticket)
	p.a = p.newProcess("a", 2)
	p.advance(time.Minute)
	unsettled := bbtverdict.ReasonKeyUnsettled
	p.wantRefusal(p.submit(p.b, uncounted), bbtverdict.MayHaveRun, unsettled)
	p.wantRefusal(p.submit(p.b, bbtexec.Submit{Key: "booking-2"}), bbtverdict.MayHaveRun, unsettled)
	p.wantRefusal(p.submit(p.b, bbtexec.Submit{Key: "booking-3", IsFirstAttempt: true}), bbtverdict.NotRun, bbtverdict.ReasonTicketRequired)
	p.advance(2 * time.Hour)
	p.wantRefusal(p.submit(p.b, bbtexec.Submit{Key: "booking-4", Uncounted: true}), bbtverdict.NotRun, bbtverdict.ReasonTicketRequired)
	p.wantRefusal(p.submit(p.b, bbtexec.Submit{Key: "booking-2"}), bbtverdict.MayHaveRun, unsettled)
	p.wantScheduled(2)
}

func TestVerdictWhenPeerIsUnreachable(t *testing.T) {
	p := newPair(t)
	ticket := p.ticket(p.a)
	p.hold = true
	for _, tc := range []struct {
		submit bbtexec.Submit
		sent   bool
		want   bbtverdict.Verdict
	}{
		{bbtexec.Submit{Ticket: ticket, IsFirstAttempt: true}, false, bbtverdict.NotRun},
		{bbtexec.Submit{Ticket: ticket}, false, bbtverdict.MayHaveRun},
		{bbtexec.Submit{Ticket: ticket, IsFirstAttempt: true}, true, bbtverdict.MayHaveRun},
		{bbtexec.Submit{Key: "k", IsFirstAttempt: true}, false, bbtverdict.NotRun},
		{bbtexec.Submit{Key: "k", IsFirstAttempt: true}, true, bbtverdict.NotRun},
		{bbtexec.Submit{Key: "k"}, true, bbtverdict.MayHaveRun},
	} {
		id := p.submit(p.b, tc.submit)
		message := p.held[len(p.held)-1].Message
		if tc.sent {
			p.step(p.b, bbtexec.PeerLost{Host: "a"})
		} else {
			p.step(p.b, bbtexec.SendFailed{To: "a", Message: message})
		}
		if got := p.refusals[id].Err; got == nil || got.Verdict() != tc.want {
			t.Errorf("%+v, sent %v: got %v, want %v", tc.submit, tc.sent, got, tc.want)
		}
	}
}

func TestRefusedRequestNeverRunsLater(t *testing.T) {
	p := newPair(t)
	ticket := p.ticket(p.a)
	id := p.submit(p.a, bbtexec.Submit{Ticket: ticket})
	p.step(p.a, bbtexec.Rejected{Call: id, Reason: bbtverdict.ReasonPoolFull})
	p.wantRefusal(id, bbtverdict.NotRun, bbtverdict.ReasonPoolFull)
	delayed := p.submit(p.b, bbtexec.Submit{Ticket: ticket})
	p.wantRefusal(delayed, bbtverdict.NotRun, bbtverdict.ReasonTicketVoid)
	p.wantScheduled(1)
	if _, ok := p.a.Dispatch(p.now, id); ok {
		t.Error("got a dispatch after the refusal")
	}
	p.start(p.refusals[delayed].Ticket)
}

func TestResendAfterCallerDisconnected(t *testing.T) {
	p := newPair(t)
	waitingTicket := p.ticket(p.a)
	p.step(p.a, bbtexec.CallerDisconnected{Call: p.submit(p.a, bbtexec.Submit{Ticket: waitingTicket})})
	p.wantRefusal(p.submit(p.b, bbtexec.Submit{Ticket: waitingTicket}), bbtverdict.NotRun, bbtverdict.ReasonTicketVoid)

	runningTicket := p.ticket(p.a)
	id, d := p.start(runningTicket)
	p.step(p.a, bbtexec.CallerDisconnected{Call: id})
	p.finish(id, d, "booked")
	p.wantResponse(p.submit(p.b, bbtexec.Submit{Ticket: runningTicket}), "booked")
	if got := p.a.Calls() + p.b.Calls(); got != 0 {
		t.Errorf("got %d calls left, want none", got)
	}
}

func TestCountedResendAfterCallerDisconnected(t *testing.T) {
	p := newPair(t)
	refused := p.submit(p.b, bbtexec.Submit{Key: "booking-1", IsFirstAttempt: true})
	id := p.submit(p.b, bbtexec.Submit{Ticket: p.refusals[refused].Ticket, IsFirstAttempt: true})
	p.step(p.b, bbtexec.CallerDisconnected{Call: id})
	resent := p.submit(p.b, bbtexec.Submit{Key: "booking-1"})
	p.wantRefusal(resent, bbtverdict.NotRun, bbtverdict.ReasonTicketRequired)
	p.start(p.refusals[resent].Ticket)
	p.wantScheduled(2)
}

func TestOnlyTheNewestTicketOfAKeyRuns(t *testing.T) {
	p := newPair(t)
	superseded := p.submit(p.b, bbtexec.Submit{Key: "booking-1", Uncounted: true})
	newest := p.submit(p.b, bbtexec.Submit{Key: "booking-1", Uncounted: true})
	refused := p.submit(p.a, bbtexec.Submit{Ticket: p.refusals[superseded].Ticket})
	p.wantRefusal(refused, bbtverdict.NotRun, bbtverdict.ReasonTicketVoid)
	if got := p.refusals[refused].Ticket; got != "" {
		t.Errorf("got ticket %q besides the newest, want none", got)
	}
	p.start(p.refusals[newest].Ticket)
	p.wantScheduled(1)
}

func TestEntryHostIssuesTicketWhenHomeIsUnreachable(t *testing.T) {
	p := newPair(t)
	p.hold = true
	refused := p.submit(p.b, bbtexec.Submit{Key: "booking-1", IsFirstAttempt: true})
	p.step(p.b, bbtexec.SendFailed{To: "a", Message: p.held[0].Message})
	p.hold = false
	id := p.submit(p.b, bbtexec.Submit{Ticket: p.refusals[refused].Ticket, IsFirstAttempt: true})
	resent := p.submit(p.b, bbtexec.Submit{Key: "booking-1"})
	elsewhere := p.submit(p.a, bbtexec.Submit{Key: "booking-1"})
	p.wantRefusal(elsewhere, bbtverdict.MayHaveRun, bbtverdict.ReasonKeyUnsettled)
	d, _ := p.b.Dispatch(p.now, id)
	response := bbtledger.NewResponse(200, "", []byte("booked"))
	p.step(p.b, bbtexec.Finished{Call: id, Dispatch: d, Response: response})
	p.wantResponse(resent, "booked")
	p.wantScheduled(1)
}

func TestEntryHostIssuesTicketWhenHomeDrains(t *testing.T) {
	p := newPair(t)
	p.step(p.a, bbtexec.Drain{})
	refused := p.submit(p.b, bbtexec.Submit{Key: "booking-1", IsFirstAttempt: true})
	p.wantRefusal(refused, bbtverdict.NotRun, bbtverdict.ReasonTicketRequired)
	if got, err := bbtticket.Parse(p.refusals[refused].Ticket); err != nil || got.Host() != "b" {
		t.Errorf("got a ticket of %q, want one of the entry host", got.Host())
	}
}

func TestForwardedCallIsCancelledWhenCallerDisconnects(t *testing.T) {
	p := newPair(t)
	ticket := p.ticket(p.a)
	p.step(p.b, bbtexec.CallerDisconnected{Call: p.submit(p.b, bbtexec.Submit{Ticket: ticket})})
	p.wantRefusal(p.submit(p.a, bbtexec.Submit{Ticket: ticket}), bbtverdict.NotRun, bbtverdict.ReasonTicketVoid)
}

func TestResponseOfPreviousDispatchIsDropped(t *testing.T) {
	p := newPair(t)
	id, previous := p.start(p.ticket(p.a))
	p.step(p.a, bbtexec.NotExecuted{Call: id, Dispatch: previous})
	d, ok := p.a.Dispatch(p.now, id)
	if _, twice := p.a.Dispatch(p.now, id); !ok || twice {
		t.Errorf("got dispatch %v, repeat of it %v, want true and false", ok, twice)
	}
	p.finish(id, previous, "crossed")
	p.finish(id, d, "booked")
	p.finish(id, d, "doubled")
	p.wantResponse(id, "booked")
	if got := p.a.Counts().StaleOutcomes(); got != 2 {
		t.Errorf("got %d stale outcomes, want 2", got)
	}
}

func TestStaleRepliesAreDropped(t *testing.T) {
	p := newPair(t)
	p.hold = true
	id := p.submit(p.b, bbtexec.Submit{Ticket: p.ticket(p.a)})
	request := p.held[0].Message.(bbtexec.ForwardRequest).Request
	previous := bbtexec.Request{Incarnation: request.Incarnation - 1, ID: request.ID}
	fromOtherPeer := bbtexec.ForwardReply{Request: request, Status: 200, Body: []byte("crossed")}
	p.step(p.b, bbtexec.MessageReceived{From: "c", Message: fromOtherPeer})
	p.step(p.b, bbtexec.MessageReceived{From: "a", Message: bbtexec.ForwardReply{Request: previous, Status: 200}})
	if _, ok := p.responses[id]; ok {
		t.Error("got the response of another request")
	}
	reply := bbtexec.ForwardReply{Request: request, Status: 200, Body: []byte("booked")}
	p.step(p.b, bbtexec.MessageReceived{From: "a", Message: reply})
	p.step(p.b, bbtexec.MessageReceived{From: "a", Message: reply})
	p.wantResponse(id, "booked")
	if got := p.b.Counts().StaleReplies(); got != 3 {
		t.Errorf("got %d stale replies, want 3", got)
	}
}

func TestLateTicketIsNotReturned(t *testing.T) {
	p := newPair(t)
	p.hold = true
	first := p.submit(p.b, bbtexec.Submit{Key: "booking-1", IsFirstAttempt: true})
	uncounted := p.submit(p.b, bbtexec.Submit{Key: "booking-2", Uncounted: true})
	p.deliver(p.held[0])
	p.deliver(p.held[1])
	p.advance(bbtexec.IssueTimeout)
	p.deliver(p.held[2])
	p.deliver(p.held[3])
	p.wantRefusal(uncounted, bbtverdict.MayHaveRun, bbtverdict.ReasonKeyHomeUnreachable)
	p.wantRefusal(first, bbtverdict.NotRun, bbtverdict.ReasonTicketRequired)
	if got, err := bbtticket.Parse(p.refusals[first].Ticket); err != nil || got.Host() != "b" {
		t.Errorf("got a ticket of %q, want one of the entry host", got.Host())
	}
}

func TestExpiredTicketIsNotDispatched(t *testing.T) {
	p := newPair(t)
	id := p.submit(p.a, bbtexec.Submit{Ticket: p.ticket(p.a)})
	p.advance(bbtledger.DefaultLifetime)
	if _, ok := p.a.Dispatch(p.now, id); ok {
		t.Error("got a dispatch after the expiry of the ticket")
	}
}

func TestDrainingHostCompletesOutstandingTickets(t *testing.T) {
	p := newPair(t)
	outstanding, ticket := p.ticket(p.a), p.ticket(p.a)
	id, d := p.start(ticket)
	p.step(p.a, bbtexec.Drain{})
	p.wantRefusal(p.submit(p.a, bbtexec.Submit{}), bbtverdict.NotRun, bbtverdict.ReasonDraining)
	p.wantRefusal(p.submit(p.b, bbtexec.Submit{Key: "k", Uncounted: true}), bbtverdict.NotRun, bbtverdict.ReasonDraining)
	p.finish(id, d, "booked")
	p.wantResponse(p.submit(p.b, bbtexec.Submit{Ticket: ticket}), "booked")
	p.start(outstanding)
}

func TestOutcomeIsHiddenFromOtherAccounts(t *testing.T) {
	p := newPair(t)
	ticket := p.ticket(p.a)
	id, d := p.start(ticket)
	p.finish(id, d, "booked")
	for _, e := range []*bbtexec.Executor{p.a, p.b} {
		other := p.submit(e, bbtexec.Submit{Account: "another", Ticket: ticket})
		p.wantRefusal(other, bbtverdict.NotRun, bbtverdict.ReasonTicketInvalid)
	}
	forged := ticket[:len(ticket)-2] + "AA"
	p.wantRefusal(p.submit(p.a, bbtexec.Submit{Ticket: forged}), bbtverdict.MayHaveRun, bbtverdict.ReasonTicketInvalid)
	other := p.submit(p.a, bbtexec.Submit{Ticket: ticket, Fingerprint: 9})
	p.wantRefusal(other, bbtverdict.MayHaveRun, bbtverdict.ReasonTicketMismatch)
}

func TestLedgerLimits(t *testing.T) {
	p := newPair(t, bbtledger.WithEntries(3), bbtledger.WithAccountEntries(2), bbtledger.WithResponseBytes(5))
	ticket := p.ticket(p.a)
	p.ticket(p.a)
	p.wantRefusal(p.submit(p.a, bbtexec.Submit{}), bbtverdict.NotRun, bbtverdict.ReasonLedgerFull)
	p.submit(p.a, bbtexec.Submit{Account: "another"})
	full := p.submit(p.a, bbtexec.Submit{Account: "third"})
	p.wantRefusal(full, bbtverdict.NotRun, bbtverdict.ReasonLedgerFull)
	id, d := p.start(ticket)
	p.finish(id, d, "booked")
	p.wantResponse(id, "booked")
	p.wantRefusal(p.submit(p.a, bbtexec.Submit{Ticket: ticket}), bbtverdict.Ran, bbtverdict.ReasonResponseEvicted)
	p.advance(bbtledger.DefaultLifetime + bbtledger.DefaultRetention)
	p.ticket(p.a)
	p.wantRefusal(p.submit(p.a, bbtexec.Submit{Ticket: ticket}), bbtverdict.MayHaveRun, bbtverdict.ReasonTicketExpired)
}

func TestFirstAttemptAfterItsTicketWasReclaimed(t *testing.T) {
	p := newPair(t, bbtledger.WithEntries(2))
	first := bbtexec.Submit{Key: "booking-1", IsFirstAttempt: true}
	p.submit(p.a, first)
	p.ticket(p.a)
	p.advance(bbtledger.DefaultLifetime)
	p.ticket(p.a)
	p.wantRefusal(p.submit(p.a, first), bbtverdict.NotRun, bbtverdict.ReasonTicketRequired)
}

func TestRepeatableCallNeedsNoTicket(t *testing.T) {
	p := newPair(t)
	id := p.submit(p.a, bbtexec.Submit{Repeatable: true})
	previous, _ := p.a.Dispatch(p.now, id)
	p.step(p.a, bbtexec.NotExecuted{Call: id, Dispatch: previous})
	d, _ := p.a.Dispatch(p.now, id)
	p.finish(id, previous, "crossed")
	p.finish(id, d, "summary")
	p.wantResponse(id, "summary")
	p.wantScheduled(2)
}
