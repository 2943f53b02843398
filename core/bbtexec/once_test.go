package bbtexec_test

import (
	"testing"
	"time"

	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtledger"
	"bluebelltray/core/bbtticket"
	"bluebelltray/core/bbtverdict"
)

func TestResendJoinsAndThenGetsTheAnswer(t *testing.T) {
	p := newPair(t)
	ticket := p.ticket(p.a)
	waiting := p.submit(p.a, bbtexec.Submit{Ticket: ticket})
	joined := p.submit(p.b, bbtexec.Submit{Ticket: ticket})
	d, _ := p.a.Dispatch(p.now, waiting)
	late := p.submit(p.b, bbtexec.Submit{Ticket: ticket})
	p.finish(waiting, d, "booked")
	after := p.submit(p.b, bbtexec.Submit{Ticket: ticket})
	for _, id := range []bbtexec.CallID{waiting, joined, late, after} {
		p.wantAnswer(id, "booked")
	}
	p.wantRuns(1)
}

func TestResendByKeyJoinsThroughAnotherHost(t *testing.T) {
	p := newPair(t)
	asked := p.submit(p.b, bbtexec.Submit{Key: "booking-1", IsFirstAttempt: true})
	p.wantRefusal(asked, bbtverdict.NotRun, bbtverdict.ReasonTicketRequired)
	id, d := p.start(p.refusals[asked].Ticket)
	resent := p.submit(p.b, bbtexec.Submit{Key: "booking-1"})
	p.finish(id, d, "booked")
	p.wantAnswer(resent, "booked")
	p.wantAnswer(p.submit(p.b, bbtexec.Submit{Key: "booking-1"}), "booked")
	p.wantRuns(1)
}

func TestExecutorGone(t *testing.T) {
	p := newPair(t)
	ticket := p.ticket(p.a)
	p.start(ticket)
	p.a = p.process("a", 2)
	gone := bbtverdict.ReasonExecutorLost
	p.wantRefusal(p.submit(p.b, bbtexec.Submit{Ticket: ticket}), bbtverdict.MayHaveRun, gone)
	p.wantRefusal(p.submit(p.a, bbtexec.Submit{Ticket: ticket}), bbtverdict.MayHaveRun, gone)
	p.wantRefusal(p.submit(p.a, bbtexec.Submit{Ticket: ticket, IsFirstAttempt: true}), bbtverdict.NotRun, gone)
	p.step(p.b, bbtexec.PeerIncarnation{Host: "a", Incarnation: 2})
	p.wantRefusal(p.submit(p.b, bbtexec.Submit{Ticket: ticket, IsFirstAttempt: true}), bbtverdict.NotRun, gone)
	p.wantRuns(1)
}

func TestKeyAfterRestartOfItsHome(t *testing.T) {
	p := newPair(t)
	uncounted := bbtexec.Submit{Key: "booking-1", Uncounted: true}
	p.start(p.refusals[p.submit(p.a, uncounted)].Ticket)
	counted := bbtexec.Submit{Key: "booking-2", IsFirstAttempt: true}
	p.start(p.refusals[p.submit(p.b, counted)].Ticket)
	p.a = p.process("a", 2)
	p.pass(time.Minute)
	unsettled := bbtverdict.ReasonKeyUnsettled
	p.wantRefusal(p.submit(p.b, uncounted), bbtverdict.MayHaveRun, unsettled)
	p.wantRefusal(p.submit(p.b, bbtexec.Submit{Key: "booking-2"}), bbtverdict.MayHaveRun, unsettled)
	p.wantRefusal(p.submit(p.b, bbtexec.Submit{Key: "booking-3", IsFirstAttempt: true}), bbtverdict.NotRun, bbtverdict.ReasonTicketRequired)
	p.pass(2 * time.Hour)
	p.wantRefusal(p.submit(p.b, bbtexec.Submit{Key: "booking-4", Uncounted: true}), bbtverdict.NotRun, bbtverdict.ReasonTicketRequired)
	p.wantRefusal(p.submit(p.b, bbtexec.Submit{Key: "booking-2"}), bbtverdict.MayHaveRun, unsettled)
	p.wantRuns(2)
}

func TestPeerNotReached(t *testing.T) {
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
	p.wantRuns(1)
	if _, ok := p.a.Dispatch(p.now, id); ok {
		t.Error("got a dispatch after the refusal")
	}
	p.start(p.refusals[delayed].Ticket)
}

func TestCallerGone(t *testing.T) {
	p := newPair(t)
	waits := p.ticket(p.a)
	p.step(p.a, bbtexec.CallerDisconnected{Call: p.submit(p.a, bbtexec.Submit{Ticket: waits})})
	p.wantRefusal(p.submit(p.b, bbtexec.Submit{Ticket: waits}), bbtverdict.NotRun, bbtverdict.ReasonTicketVoid)

	runs := p.ticket(p.a)
	id, d := p.start(runs)
	p.step(p.a, bbtexec.CallerDisconnected{Call: id})
	p.finish(id, d, "booked")
	p.wantAnswer(p.submit(p.b, bbtexec.Submit{Ticket: runs}), "booked")
	if got := p.a.Calls() + p.b.Calls(); got != 0 {
		t.Errorf("got %d calls left, want none", got)
	}
}

func TestCountedResendAfterItsCallerLeft(t *testing.T) {
	p := newPair(t)
	asked := p.submit(p.b, bbtexec.Submit{Key: "booking-1", IsFirstAttempt: true})
	id := p.submit(p.b, bbtexec.Submit{Ticket: p.refusals[asked].Ticket, IsFirstAttempt: true})
	p.step(p.b, bbtexec.CallerDisconnected{Call: id})
	resent := p.submit(p.b, bbtexec.Submit{Key: "booking-1"})
	p.wantRefusal(resent, bbtverdict.NotRun, bbtverdict.ReasonTicketRequired)
	p.start(p.refusals[resent].Ticket)
	p.wantRuns(2)
}

func TestOnlyTheNewestTicketOfAKeyRuns(t *testing.T) {
	p := newPair(t)
	lost := p.submit(p.b, bbtexec.Submit{Key: "booking-1", Uncounted: true})
	newest := p.submit(p.b, bbtexec.Submit{Key: "booking-1", Uncounted: true})
	former := p.submit(p.a, bbtexec.Submit{Ticket: p.refusals[lost].Ticket})
	p.wantRefusal(former, bbtverdict.NotRun, bbtverdict.ReasonTicketVoid)
	if got := p.refusals[former].Ticket; got != "" {
		t.Errorf("got ticket %q beside the newest, want none", got)
	}
	p.start(p.refusals[newest].Ticket)
	p.wantRuns(1)
}

func TestEntryHostIssuesWhenTheHomeIsCutOff(t *testing.T) {
	p := newPair(t)
	p.hold = true
	asked := p.submit(p.b, bbtexec.Submit{Key: "booking-1", IsFirstAttempt: true})
	p.step(p.b, bbtexec.SendFailed{To: "a", Message: p.held[0].Message})
	p.hold = false
	id := p.submit(p.b, bbtexec.Submit{Ticket: p.refusals[asked].Ticket, IsFirstAttempt: true})
	resent := p.submit(p.b, bbtexec.Submit{Key: "booking-1"})
	elsewhere := p.submit(p.a, bbtexec.Submit{Key: "booking-1"})
	p.wantRefusal(elsewhere, bbtverdict.MayHaveRun, bbtverdict.ReasonKeyUnsettled)
	d, _ := p.b.Dispatch(p.now, id)
	booked := bbtledger.NewResponse(200, "", []byte("booked"))
	p.step(p.b, bbtexec.Finished{Call: id, Dispatch: d, Response: booked})
	p.wantAnswer(resent, "booked")
	p.wantRuns(1)
}

func TestEntryHostIssuesForAHomeThatDrains(t *testing.T) {
	p := newPair(t)
	p.step(p.a, bbtexec.Drain{})
	asked := p.submit(p.b, bbtexec.Submit{Key: "booking-1", IsFirstAttempt: true})
	p.wantRefusal(asked, bbtverdict.NotRun, bbtverdict.ReasonTicketRequired)
	if got, err := bbtticket.Parse(p.refusals[asked].Ticket); err != nil || got.Host() != "b" {
		t.Errorf("got a ticket of %q, want one of the entry host", got.Host())
	}
}

func TestForwardedCallerGone(t *testing.T) {
	p := newPair(t)
	ticket := p.ticket(p.a)
	p.step(p.b, bbtexec.CallerDisconnected{Call: p.submit(p.b, bbtexec.Submit{Ticket: ticket})})
	p.wantRefusal(p.submit(p.a, bbtexec.Submit{Ticket: ticket}), bbtverdict.NotRun, bbtverdict.ReasonTicketVoid)
}

func TestAnswerOfAFormerDispatchIsDropped(t *testing.T) {
	p := newPair(t)
	id, former := p.start(p.ticket(p.a))
	p.step(p.a, bbtexec.NotExecuted{Call: id, Dispatch: former})
	d, ok := p.a.Dispatch(p.now, id)
	if _, twice := p.a.Dispatch(p.now, id); !ok || twice {
		t.Errorf("got %v and %v, want one dispatch", ok, twice)
	}
	p.finish(id, former, "crossed")
	p.finish(id, d, "booked")
	p.finish(id, d, "doubled")
	p.wantAnswer(id, "booked")
	if got := p.a.Counts().StaleResponses(); got != 2 {
		t.Errorf("got %d dropped answers, want 2", got)
	}
}

func TestRepliesThatAreDropped(t *testing.T) {
	p := newPair(t)
	p.hold = true
	id := p.submit(p.b, bbtexec.Submit{Ticket: p.ticket(p.a)})
	request := p.held[0].Message.(bbtexec.ForwardRequest).Request
	former := bbtexec.Request{Incarnation: request.Incarnation - 1, ID: request.ID}
	crossed := bbtexec.ForwardReply{Request: request, Status: 200, Body: []byte("crossed")}
	p.step(p.b, bbtexec.Received{From: "c", Message: crossed})
	p.step(p.b, bbtexec.Received{From: "a", Message: bbtexec.ForwardReply{Request: former, Status: 200}})
	if _, ok := p.answers[id]; ok {
		t.Error("got an answer of another exchange")
	}
	whole := bbtexec.ForwardReply{Request: request, Status: 200, Body: []byte("booked")}
	p.step(p.b, bbtexec.Received{From: "a", Message: whole})
	p.step(p.b, bbtexec.Received{From: "a", Message: whole})
	p.wantAnswer(id, "booked")
	if got := p.b.Counts().StaleReplies(); got != 3 {
		t.Errorf("got %d dropped replies, want 3", got)
	}
}

func TestLateTicketIsNotHandedOut(t *testing.T) {
	p := newPair(t)
	p.hold = true
	first := p.submit(p.b, bbtexec.Submit{Key: "booking-1", IsFirstAttempt: true})
	uncounted := p.submit(p.b, bbtexec.Submit{Key: "booking-2", Uncounted: true})
	p.deliver(p.held[0])
	p.deliver(p.held[1])
	p.pass(bbtexec.IssueTimeout)
	p.deliver(p.held[2])
	p.deliver(p.held[3])
	p.wantRefusal(uncounted, bbtverdict.MayHaveRun, bbtverdict.ReasonKeyHomeUnreachable)
	p.wantRefusal(first, bbtverdict.NotRun, bbtverdict.ReasonTicketRequired)
	if got, err := bbtticket.Parse(p.refusals[first].Ticket); err != nil || got.Host() != "b" {
		t.Errorf("got a ticket of %q, want one of this host", got.Host())
	}
}

func TestNothingIsDispatchedOnAnExpiredTicket(t *testing.T) {
	p := newPair(t)
	id := p.submit(p.a, bbtexec.Submit{Ticket: p.ticket(p.a)})
	p.pass(bbtledger.DefaultLifetime)
	if _, ok := p.a.Dispatch(p.now, id); ok {
		t.Error("got a dispatch after a pause past the expiry")
	}
}

func TestDrainingCutsNothing(t *testing.T) {
	p := newPair(t)
	outstanding, ticket := p.ticket(p.a), p.ticket(p.a)
	id, d := p.start(ticket)
	p.step(p.a, bbtexec.Drain{})
	p.wantRefusal(p.submit(p.a, bbtexec.Submit{}), bbtverdict.NotRun, bbtverdict.ReasonDraining)
	p.wantRefusal(p.submit(p.b, bbtexec.Submit{Key: "k", Uncounted: true}), bbtverdict.NotRun, bbtverdict.ReasonDraining)
	p.finish(id, d, "booked")
	p.wantAnswer(p.submit(p.b, bbtexec.Submit{Ticket: ticket}), "booked")
	p.start(outstanding)
}

func TestOutcomesStayWithTheirAccount(t *testing.T) {
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

func TestBounds(t *testing.T) {
	p := newPair(t, bbtledger.WithEntries(3), bbtledger.WithAccountEntries(2), bbtledger.WithResponseBytes(5))
	ticket := p.ticket(p.a)
	p.ticket(p.a)
	p.wantRefusal(p.submit(p.a, bbtexec.Submit{}), bbtverdict.NotRun, bbtverdict.ReasonLedgerFull)
	p.submit(p.a, bbtexec.Submit{Account: "another"})
	full := p.submit(p.a, bbtexec.Submit{Account: "third"})
	p.wantRefusal(full, bbtverdict.NotRun, bbtverdict.ReasonLedgerFull)
	id, d := p.start(ticket)
	p.finish(id, d, "booked")
	p.wantAnswer(id, "booked")
	p.wantRefusal(p.submit(p.a, bbtexec.Submit{Ticket: ticket}), bbtverdict.Ran, bbtverdict.ReasonResponseEvicted)
	p.pass(bbtledger.DefaultLifetime + bbtledger.DefaultRetention)
	p.ticket(p.a)
	p.wantRefusal(p.submit(p.a, bbtexec.Submit{Ticket: ticket}), bbtverdict.MayHaveRun, bbtverdict.ReasonTicketExpired)
}

func TestFirstAttemptAfterItsTicketMadeRoom(t *testing.T) {
	p := newPair(t, bbtledger.WithEntries(2))
	first := bbtexec.Submit{Key: "booking-1", IsFirstAttempt: true}
	p.submit(p.a, first)
	p.ticket(p.a)
	p.pass(bbtledger.DefaultLifetime)
	p.ticket(p.a)
	p.wantRefusal(p.submit(p.a, first), bbtverdict.NotRun, bbtverdict.ReasonTicketRequired)
}

func TestRepeatableCallNeedsNoTicket(t *testing.T) {
	p := newPair(t)
	id := p.submit(p.a, bbtexec.Submit{Repeatable: true})
	former, _ := p.a.Dispatch(p.now, id)
	p.step(p.a, bbtexec.NotExecuted{Call: id, Dispatch: former})
	d, _ := p.a.Dispatch(p.now, id)
	p.finish(id, former, "crossed")
	p.finish(id, d, "summary")
	p.wantAnswer(id, "summary")
	p.wantRuns(2)
}
