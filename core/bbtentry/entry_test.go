package bbtentry_test

import (
	"testing"
	"time"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtentry"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtschedule"
	"bluebelltray/core/bbtverdict"
)

// start is when the tests' time begins.
var start = time.Unix(1_000_000, 0)

const (
	owner bbtfleet.HostID = "10.0.0.1"
	other bbtfleet.HostID = "10.0.0.2"
)

// newEntry returns an entry that follows owner.
func newEntry() *bbtentry.Entry {
	e := bbtentry.New(100, bbtcatalog.Bounds{RateWindow: 8 * time.Second, RetryWindow: 10 * time.Second})
	e.SetOwner(start, owner)
	return e
}

// submission returns a request that may be sent to two endpoints.
func submission() bbtentry.Submission {
	return bbtentry.Submission{
		Registration:      bbtschedule.Registration{Service: "plain", Account: "salons", Cost: 7},
		MaxAttempts:       2,
		Deadline:          start.Add(2 * time.Second),
		ObjectiveDeadline: start.Add(100 * time.Millisecond),
	}
}

// one returns the only action of a type.
func one[A any](t *testing.T, actions []bbtentry.Action) A {
	t.Helper()
	var found []A
	for _, a := range actions {
		if a, ok := a.(A); ok {
			found = append(found, a)
		}
	}
	if len(found) != 1 {
		t.Fatalf("got %d actions %T in %v, want 1", len(found), *new(A), actions)
	}
	return found[0]
}

// sent returns the only message of a type, and to whom it goes.
func sent[M any](t *testing.T, actions []bbtentry.Action) (bbtfleet.HostID, M) {
	t.Helper()
	for _, a := range actions {
		if s, ok := a.(bbtentry.Send); ok {
			if m, ok := s.Message.(M); ok {
				return s.To, m
			}
		}
	}
	var none M
	t.Fatalf("got %v, want a message %T", actions, none)
	return "", none
}

// dispatched submits a request and gives it a permit.
func dispatched(t *testing.T, e *bbtentry.Entry) bbtschedule.RequestID {
	t.Helper()
	id, actions := e.Submit(start, submission())
	if to, r := sent[bbtschedule.Registration](t, actions); to != owner || r.ID != id || r.Left != 2*time.Second {
		t.Fatalf("got %+v to %s, want the registration of %d", r, to, id)
	}
	d := one[bbtentry.Dispatch](t, e.PermitReceived(start, owner, bbtschedule.Permit{ID: id, Endpoint: "a", Address: "10.1.0.1:80"}))
	if d.Endpoint != "a" || d.Address != "10.1.0.1:80" {
		t.Fatalf("got %+v, want the permit's endpoint", d)
	}
	return id
}

func TestRequestThatIsRepeatedExcludesWhereItWas(t *testing.T) {
	e := newEntry()
	id := dispatched(t, e)
	_, r := sent[bbtschedule.Registration](t, e.DispatchEnded(start, id, bbtschedule.Done{Outcome: bbtschedule.Failed}, true))
	if r.Attempt != 1 || !r.Repeat || len(r.Exclude) != 1 || r.Exclude[0] != "a" {
		t.Errorf("got %+v, want a repeat elsewhere than at a", r)
	}
}

func TestEndpointWithoutAConnectionTakesNoAttempt(t *testing.T) {
	e := newEntry()
	id := dispatched(t, e)
	for attempt := 1; attempt < 4; attempt++ {
		_, r := sent[bbtschedule.Registration](t, e.DispatchEnded(start, id, bbtschedule.Done{Outcome: bbtschedule.Unreachable}, true))
		if r.Attempt != attempt || r.Repeat {
			t.Fatalf("got %+v, want attempt %d and no repeat", r, attempt)
		}
		e.PermitReceived(start, owner, bbtschedule.Permit{ID: id, Attempt: attempt, Endpoint: "b"})
	}
}

func TestAttemptsEnd(t *testing.T) {
	e := newEntry()
	id := dispatched(t, e)
	e.DispatchEnded(start, id, bbtschedule.Done{Outcome: bbtschedule.Failed}, true)
	e.PermitReceived(start, owner, bbtschedule.Permit{ID: id, Attempt: 1, Endpoint: "b"})
	f := one[bbtentry.Fail](t, e.DispatchEnded(start, id, bbtschedule.Done{Outcome: bbtschedule.Failed}, true))
	if f.Reason != bbtverdict.ReasonAttemptsExhausted || e.Len() != 0 {
		t.Errorf("got %+v with %d requests left, want %s and none", f, e.Len(), bbtverdict.ReasonAttemptsExhausted)
	}
}

func TestPermitThatNobodyWaitsForGoesBack(t *testing.T) {
	e := newEntry()
	id := dispatched(t, e)
	for _, p := range []bbtschedule.Permit{{ID: id, Endpoint: "b"}, {ID: 9, Endpoint: "b"}} {
		to, d := sent[bbtschedule.Done](t, e.PermitReceived(start, other, p))
		if to != other || d.Outcome != bbtschedule.Unused {
			t.Errorf("got %v to %s, want the permit back unused", d, to)
		}
	}
}

func TestPermitAfterTheDeadlineIsNotUsed(t *testing.T) {
	e := newEntry()
	id, _ := e.Submit(start, submission())
	actions := e.PermitReceived(start.Add(3*time.Second), owner, bbtschedule.Permit{ID: id, Endpoint: "a"})
	if f := one[bbtentry.Fail](t, actions); f.Reason != bbtverdict.ReasonTimeout {
		t.Errorf("got %s, want %s", f.Reason, bbtverdict.ReasonTimeout)
	}
	if _, d := sent[bbtschedule.Done](t, actions); d.Outcome != bbtschedule.Unused {
		t.Errorf("got %s, want unused", d.Outcome)
	}
}

func TestNewOwnerIsToldWhatRunsAndWhatWaits(t *testing.T) {
	e := newEntry()
	running := dispatched(t, e)
	waiting, _ := e.Submit(start, submission())
	now := start.Add(500 * time.Millisecond)
	actions := e.SetOwner(now, other)
	to, tk := sent[bbtschedule.Takeover](t, actions)
	if to != other || len(tk.Running) != 1 || tk.Running[0].Registration.ID != running || tk.Running[0].Endpoint != "a" {
		t.Errorf("got %+v to %s, want what runs", tk, to)
	}
	if len(tk.Used) != 1 || tk.Used[0].Account != "salons" || tk.Used[0].Amount != 7 {
		t.Errorf("got use %+v, want 7 of salons", tk.Used)
	}
	if _, r := sent[bbtschedule.Registration](t, actions); r.ID != waiting {
		t.Errorf("got %+v, want what waits", r)
	}
}

func TestBothOwnersHearOfTheEnd(t *testing.T) {
	e := newEntry()
	id := dispatched(t, e)
	e.SetOwner(start, other)
	told := make(map[bbtfleet.HostID]bool)
	for _, a := range e.DispatchEnded(start, id, bbtschedule.Done{Outcome: bbtschedule.Finished}, false) {
		if s, ok := a.(bbtentry.Send); ok {
			told[s.To] = true
		}
	}
	if !told[owner] || !told[other] {
		t.Errorf("got %v told, want both owners", told)
	}
}

func TestSilentOwnerIsGivenUpWhileARequestWaits(t *testing.T) {
	e := newEntry()
	e.Submit(start, submission())
	probed, silent := time.Duration(0), time.Duration(0)
	for d := time.Duration(0); d < time.Second && silent == 0; d += 10 * time.Millisecond {
		for _, a := range e.Tick(start.Add(d)) {
			switch a := a.(type) {
			case bbtentry.Send:
				if _, ok := a.Message.(bbtschedule.Probe); ok && d > 0 && probed == 0 {
					probed = d
				}
			case bbtentry.OwnerUnresponsive:
				silent = d
			}
		}
	}
	if probed != bbtentry.ProbeDelay || silent != bbtentry.OwnerTimeout {
		t.Errorf("got a probe after %v and the end after %v, want %v and %v", probed, silent, bbtentry.ProbeDelay, bbtentry.OwnerTimeout)
	}
}

func TestAnsweringOwnerIsKeptWhileARequestWaits(t *testing.T) {
	e := newEntry()
	e.Submit(start, submission())
	for d := time.Duration(0); d < 1900*time.Millisecond; d += 10 * time.Millisecond {
		for _, a := range e.Tick(start.Add(d)) {
			if _, ok := a.(bbtentry.OwnerUnresponsive); ok {
				t.Fatalf("got the owner given up after %v", d)
			}
			if s, ok := a.(bbtentry.Send); ok {
				if _, ok := s.Message.(bbtschedule.Probe); ok {
					e.MessageReceived(start.Add(d+5*time.Millisecond), owner)
				}
			}
		}
	}
}

func TestRequestEndsAtItsDeadline(t *testing.T) {
	e := newEntry()
	id, _ := e.Submit(start, submission())
	if f := one[bbtentry.Fail](t, e.Tick(start.Add(2*time.Second))); f.ID != id || f.Reason != bbtverdict.ReasonTimeout {
		t.Errorf("got %+v, want %d to end", f, id)
	}
}

func TestCallerThatLeavesFreesItsPlace(t *testing.T) {
	e := newEntry()
	waiting, _ := e.Submit(start, submission())
	if _, w := sent[bbtschedule.Withdrawal](t, e.Cancel(waiting)); w.ID != waiting {
		t.Errorf("got %+v, want the withdrawal of %d", w, waiting)
	}
	running := dispatched(t, e)
	if _, d := sent[bbtschedule.Done](t, e.Cancel(running)); d.Outcome != bbtschedule.Cancelled {
		t.Errorf("got %s, want cancelled", d.Outcome)
	}
}
