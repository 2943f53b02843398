package bbtentry_test

import (
	"testing"
	"time"

	"bluebelltray/core/bbtentry"
	"bluebelltray/core/bbtschedule"
)

// Guards against an owner that counts the usage under itself twice, or knows nothing of
// that under its earlier process, since the host repeats what it used.
func TestOwnerIsToldTheUsageThatItHasNotCounted(t *testing.T) {
	e := newEntry()
	e.SetOwner(start, other)
	e.SetOwner(start, owner)
	dispatch(t, e)
	for _, c := range []struct {
		name    string
		process uint64
		lacks   bbtschedule.Lacks
		usage   int
	}{
		{"lost message", 1, bbtschedule.LacksEverything, 0},
		{"host taken for dead", 1, bbtschedule.LacksDispatches, 0},
		{"restarted owner", 2, bbtschedule.LacksEverything, 1},
		{"lost message to the restarted owner", 2, bbtschedule.LacksEverything, 1},
	} {
		now := start.Add(100 * time.Millisecond)
		_, got := sentMessage[bbtschedule.Takeover](t, e.ProbeAnswered(now, owner, bbtschedule.ProbeReply{Incarnation: c.process, Lacks: c.lacks}))
		if len(got.Running) != 1 || !got.Again || len(got.AccountUsage) != c.usage {
			t.Errorf("%s: got %+v, want the dispatch and %d usages", c.name, got, c.usage)
		}
	}
	reply := bbtschedule.ProbeReply{Incarnation: 2, Lacks: bbtschedule.LacksEverything}
	if got := e.ProbeAnswered(start, other, reply); len(got) != 0 {
		t.Errorf("got %v for the reply of another host, want none", got)
	}
	reply.Lacks = bbtschedule.LacksNothing
	if got := e.ProbeAnswered(start, owner, reply); len(got) != 0 {
		t.Errorf("got %v for an owner that lacks nothing, want none", got)
	}
}

// Guards against probes that name requests which have just been registered, or more of
// them than a probe may name.
func TestProbeNamesRequestsWithoutAReply(t *testing.T) {
	const requests = bbtschedule.MaxPending + 10
	e := newEntry()
	for range requests {
		e.Submit(start, submission())
	}
	if _, p := sentMessage[bbtschedule.Probe](t, e.Tick(start.Add(150*time.Millisecond))); len(p.Pending) != 0 {
		t.Errorf("got %d requests named after 150ms, want none", len(p.Pending))
	}
	named := make(map[bbtschedule.RequestID]bool)
	now := start.Add(150 * time.Millisecond)
	for _, want := range []int{bbtschedule.MaxPending, requests} {
		e.MessageReceived(now, owner)
		now = now.Add(bbtentry.FollowInterval)
		_, p := sentMessage[bbtschedule.Probe](t, e.Tick(now))
		for _, pending := range p.Pending {
			named[pending.ID] = true
		}
		if len(p.Pending) > bbtschedule.MaxPending || len(named) != want {
			t.Errorf("got %d requests named, %d of them now, want %d, at most %d at once", len(named), len(p.Pending), want, bbtschedule.MaxPending)
		}
	}
}
