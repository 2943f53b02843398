package bbtentry_test

import (
	"fmt"
	"testing"
	"time"

	"bluebelltray/core/bbtentry"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtschedule"
)

// permitFor returns a permit for an incarnation of endpoint a.
func permitFor(id bbtschedule.RequestID, startTimeMS int64) bbtschedule.Permit {
	return bbtschedule.Permit{ID: id, Endpoint: "a", Address: "10.1.0.1:80", StartTimeMS: startTimeMS}
}

// newDrainingEntry returns an entry to which endpoint a has said that it is draining, in
// the answer to a request that runs on.
func newDrainingEntry(t *testing.T) (*bbtentry.Entry, bbtschedule.RequestID) {
	t.Helper()
	e := newEntry()
	id, _ := e.Submit(start, submission())
	d := onlyAction[bbtentry.Dispatch](t, e.PermitReceived(start, owner, permitFor(id, 5)))
	onlyAction[bbtentry.EndpointDrains](t, e.EndpointDraining(start, d))
	return e, id
}

// count returns the number of actions of a type.
func count[A any](actions []bbtentry.Action) int {
	n := 0
	for _, a := range actions {
		if _, ok := a.(A); ok {
			n++
		}
	}
	return n
}

// Guards against a request that reaches an endpoint after this host has passed on an
// answer in which the endpoint says that it is draining, by a permit of an owner that
// does not know.
func TestPermitForDrainingEndpointIsReturned(t *testing.T) {
	e, _ := newDrainingEntry(t)
	id, _ := e.Submit(start, submission())
	actions := e.PermitReceived(start, owner, permitFor(id, 5))
	if got := count[bbtentry.Dispatch](actions); got != 0 {
		t.Fatalf("got %v, want no dispatch", actions)
	}
	to, d := sentMessage[bbtschedule.Done](t, actions)
	if want := (bbtschedule.Incarnation{Endpoint: "a", Address: "10.1.0.1:80", StartTimeMS: 5}); to != owner || d.Outcome != bbtschedule.Unused || d.Draining != want {
		t.Errorf("got %+v to %s, want the permit returned with %v", d, to, want)
	}
	to, r := sentMessage[bbtschedule.Registration](t, actions)
	if to != owner || r.ID != id || r.Attempt != 0 || r.Retry || len(r.Exclude) != 1 || r.Exclude[0] != "a" {
		t.Errorf("got %+v to %s, want the same attempt without a", r, to)
	}
	if f := onlyAction[bbtentry.PermitReturned](t, actions); f.ID != id || f.Endpoint != "a" {
		t.Errorf("got %+v, want the permit of %d for a", f, id)
	}
	b := onlyAction[bbtentry.Dispatch](t, e.PermitReceived(start, owner, bbtschedule.Permit{ID: id, Endpoint: "b", Address: "10.1.0.2:80"}))
	if b.Endpoint != "b" || b.Attempt != 0 {
		t.Errorf("got %+v, want the first attempt at b", b)
	}
	_, r = sentMessage[bbtschedule.Registration](t, e.DispatchEnded(start, id, bbtschedule.Done{Outcome: bbtschedule.Failed}, true))
	if r.Attempt != 1 || !r.Retry {
		t.Errorf("got %+v, want a second attempt that is counted", r)
	}
}

// Guards against a request that goes back and forth for ever between this host and an
// owner that does not learn that an endpoint is draining.
func TestRequestOfAnOwnerThatDoesNotLearnEnds(t *testing.T) {
	e, _ := newDrainingEntry(t)
	id, _ := e.Submit(start, submission())
	for n := 1; n <= 100; n++ {
		actions := e.PermitReceived(start, owner, permitFor(id, 5))
		if got := count[bbtentry.Dispatch](actions); got != 0 {
			t.Fatalf("got %v, want no dispatch", actions)
		}
		if count[bbtentry.Fail](actions) == 1 {
			if n < 8 {
				t.Errorf("got the request failed after %d permits, want some more tries", n)
			}
			return
		}
	}
	t.Error("got 100 permits returned, want the request to fail before")
}

// Guards against a request that waits at two owners, since the permit of a former one is
// returned.
func TestReturnedPermitOfAFormerOwnerAsksNoOneAgain(t *testing.T) {
	e, _ := newDrainingEntry(t)
	id, _ := e.Submit(start, submission())
	e.SetOwner(start, other)
	actions := e.PermitReceived(start, owner, permitFor(id, 5))
	if to, d := sentMessage[bbtschedule.Done](t, actions); to != owner || d.Outcome != bbtschedule.Unused {
		t.Errorf("got %+v to %s, want the permit returned", d, to)
	}
	if count[bbtentry.Dispatch](actions) != 0 || count[bbtentry.Send](actions) != 1 {
		t.Errorf("got %v, want nothing but the permit returned", actions)
	}
	d := onlyAction[bbtentry.Dispatch](t, e.PermitReceived(start, other, bbtschedule.Permit{ID: id, Endpoint: "b"}))
	if d.Endpoint != "b" {
		t.Errorf("got %+v, want the permit of the new owner used", d)
	}
}

// Guards against an endpoint that gets nothing for ever, since an earlier process at its
// address was draining, and against one that is used again since the owner's view of it
// is older.
func TestDrainingEndsWithTheIncarnation(t *testing.T) {
	for _, test := range []struct {
		permit bbtschedule.Permit
		want   int // dispatches
	}{
		{bbtschedule.Permit{Endpoint: "a", Address: "10.1.0.1:80", StartTimeMS: 6}, 1},
		{bbtschedule.Permit{Endpoint: "a", Address: "10.1.0.9:80", StartTimeMS: 5}, 1},
		{bbtschedule.Permit{Endpoint: "b", Address: "10.1.0.1:80", StartTimeMS: 5}, 1},
		{bbtschedule.Permit{Endpoint: "a", Address: "10.1.0.1:80", StartTimeMS: 4}, 0},
		{bbtschedule.Permit{Endpoint: "a", Address: "10.1.0.9:80", StartTimeMS: 4}, 0},
		{bbtschedule.Permit{Endpoint: "a", Address: "10.1.0.1:80"}, 0},
	} {
		e, _ := newDrainingEntry(t)
		test.permit.ID, _ = e.Submit(start, submission())
		if got := count[bbtentry.Dispatch](e.PermitReceived(start, owner, test.permit)); got != test.want {
			t.Errorf("%+v: got %d dispatches, want %d", test.permit, got, test.want)
		}
	}
}

// Guards against a gate that a store entry opens, which says nothing of the leaving, be it
// gone for a while or back from a copy of the store.
func TestDrainingOutlivesTheListing(t *testing.T) {
	e, _ := newDrainingEntry(t)
	granted := func(now time.Time) int {
		s := submission()
		s.Deadline = now.Add(time.Second)
		id, _ := e.Submit(now, s)
		return count[bbtentry.Dispatch](e.PermitReceived(now, owner, permitFor(id, 5)))
	}
	now := start
	for _, step := range []struct {
		listed bool
		period time.Duration
		want   int
	}{{true, time.Hour, 0}, {false, 5 * time.Minute, 0}, {true, time.Second, 0}, {false, 11 * time.Minute, 1}} {
		for end := now.Add(step.period); now.Before(end); now = now.Add(time.Second) {
			e.KeepDraining(now, func(string) bool { return step.listed })
		}
		if got := granted(now); got != step.want {
			t.Errorf("after %v with the endpoint listed %t: got %d dispatches, want %d", step.period, step.listed, got, step.want)
		}
	}
}

// Guards against owners that are not told that an endpoint is draining: the one that
// gave the permit, the one of the moment, and the next one.
func TestOwnersAreToldOfDrainingEndpoint(t *testing.T) {
	want := bbtschedule.Incarnation{Endpoint: "a", Address: "10.1.0.1:80", StartTimeMS: 5}
	e, id := newDrainingEntry(t)
	if _, m := sentMessage[bbtschedule.FirstEvent](t, e.ResponseStarted(start, id, bbtschedule.StatedLimit{Answered: true})); m.Draining != want {
		t.Errorf("got %+v with the first event, want %+v", m.Draining, want)
	}
	_, takeover := sentMessage[bbtschedule.Takeover](t, e.SetOwner(start, other))
	if len(takeover.Draining) != 1 || takeover.Draining[0] != want {
		t.Errorf("got %+v for the next owner, want %+v", takeover.Draining, want)
	}
	if len(takeover.Running) != 1 || takeover.Running[0].Endpoint != "a" {
		t.Errorf("got %+v running, want the request that the endpoint answers", takeover.Running)
	}
	told := make(map[bbtfleet.HostID]bool)
	for _, a := range e.DispatchEnded(start, id, bbtschedule.Done{Outcome: bbtschedule.Finished}, false) {
		if s, ok := a.(bbtentry.Send); ok {
			told[s.To] = s.Message.(bbtschedule.Done).Draining == want
		}
	}
	if !told[owner] || !told[other] {
		t.Errorf("got %v told with the end, want both owners", told)
	}
}

// Guards against a line for each answer of an endpoint that is draining.
func TestDrainingEndpointIsReportedOnce(t *testing.T) {
	e := newEntry()
	for i := range 3 {
		id, _ := e.Submit(start, submission())
		d := bbtentry.Dispatch{ID: id, Endpoint: "a", Address: "10.1.0.1:80", StartTimeMS: 5}
		if got, want := count[bbtentry.EndpointDrains](e.EndpointDraining(start, d)), max(0, 1-i); got != want {
			t.Errorf("answer %d: got %d reports, want %d", i, got, want)
		}
	}
}

// Guards against memory that grows with each endpoint that was ever draining.
func TestDrainingEndpointsAreBounded(t *testing.T) {
	e := newEntry()
	for i := range 10_000 {
		e.EndpointDraining(start.Add(time.Duration(i)*time.Millisecond), bbtentry.Dispatch{Endpoint: fmt.Sprint(i), Address: "10.1.0.1:80"})
	}
	_, takeover := sentMessage[bbtschedule.Takeover](t, e.SetOwner(start, other))
	if got := len(takeover.Draining); got > 4096 || got < 1000 {
		t.Errorf("got %d endpoints for the next owner, want at most 4096", got)
	}
	id, _ := e.Submit(start, submission())
	if got := count[bbtentry.Dispatch](e.PermitReceived(start, other, bbtschedule.Permit{ID: id, Endpoint: "9999", Address: "10.1.0.1:80"})); got != 0 {
		t.Errorf("got %d dispatches to the latest one, want none", got)
	}
}
