package bbtroute_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtroute"
	"bluebelltray/core/bbtverdict"
	"pgregory.net/rapid"
)

const pool = bbtfleet.PoolID("p")

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "200")
}

// harness drives an Entry with a number of owners that have one endpoint each.
type harness struct {
	entry      *bbtroute.Entry
	now        time.Time
	start      time.Time
	registered map[bbtfleet.HostID]bbtgrant.Registration // of the request under test
	sent       []bbtroute.Send
	running    []bbtroute.Dispatch
	refused    []bbtroute.Refuse
}

func newHarness(owners int, opts ...bbtroute.Option) *harness {
	b := &harness{now: time.Unix(1000, 0), registered: make(map[bbtfleet.HostID]bbtgrant.Registration)}
	b.start = b.now
	b.entry = bbtroute.New("self", b.now, opts...)
	b.record(b.entry.SetTargets(b.now, targets(owners)))
	return b
}

func targets(owners int) []bbtroute.Target {
	var out []bbtroute.Target
	for i := range owners {
		ep := bbtfleet.NewEndpoint(bbtfleet.EndpointID(fmt.Sprint("e", i)), "z", bbtfleet.ModelEngine, pool)
		out = append(out, bbtroute.Target{Endpoint: ep, Owner: bbtfleet.HostID(fmt.Sprint("o", i))})
	}
	return out
}

func (b *harness) record(actions []bbtroute.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case bbtroute.Send:
			b.sent = append(b.sent, a)
			switch m := a.Message.(type) {
			case bbtgrant.Registration:
				b.registered[a.To] = m
			case bbtgrant.Withdrawal:
				delete(b.registered, a.To)
			}
		case bbtroute.Dispatch:
			b.running = append(b.running, a)
		case bbtroute.Refuse:
			b.refused = append(b.refused, a)
		}
	}
}

func (b *harness) submit(r bbtroute.Request) {
	r.Pool, r.Tier, r.Account = pool, 1, "a"
	if r.ID == 0 {
		r.ID = 1
	}
	r.Deadline = b.now.Add(time.Minute)
	b.record(b.entry.Submit(b.now, r))
}

func (b *harness) advance(d time.Duration) {
	b.now = b.now.Add(d)
	b.record(b.entry.Tick(b.now))
}

func (b *harness) grant(owner bbtfleet.HostID, id bbtgrant.PermitID) {
	delete(b.registered, owner)
	ep := bbtfleet.EndpointID("e" + string(owner[1:]))
	b.record(b.entry.Granted(b.now, owner, bbtgrant.Permit{ID: id, Request: 1, Endpoint: ep, Expiry: b.now.Sub(b.start) + time.Second}))
}

func (b *harness) end(o bbtgrant.Outcome) {
	b.record(b.entry.Finished(b.now, 1, bbtroute.Outcome{Kind: o}))
}

// owners returns the owners that hold a registration, in order.
func (b *harness) owners() []bbtfleet.HostID {
	var out []bbtfleet.HostID
	for _, t := range targets(8) {
		if _, ok := b.registered[t.Owner]; ok {
			out = append(out, t.Owner)
		}
	}
	return out
}

func (b *harness) returned(id bbtgrant.PermitID) bool {
	for _, s := range b.sent {
		if s.Message == (bbtgrant.Return{Permit: id}) {
			return true
		}
	}
	return false
}

func TestFirstGrantWins(t *testing.T) {
	b := newHarness(4)
	b.submit(bbtroute.Request{})
	b.advance(10 * time.Millisecond)
	held := b.owners()
	if len(held) != 2 {
		t.Fatalf("registered with %v, want two owners", held)
	}
	b.grant(held[0], 1)
	b.grant(held[1], 2)
	if len(b.running) != 1 || b.running[0].Permit.ID != 1 {
		t.Errorf("dispatches = %v, want one under permit 1", b.running)
	}
	if !b.returned(2) || len(b.owners()) != 0 {
		t.Errorf("permit 2 returned %v, still registered with %v", b.returned(2), b.owners())
	}
}

func TestExpiredPermitIsReturned(t *testing.T) {
	b := newHarness(1)
	b.submit(bbtroute.Request{})
	delete(b.registered, "o0")
	b.record(b.entry.Granted(b.now, "o0", bbtgrant.Permit{ID: 1, Request: 1, Endpoint: "e0", Expiry: b.now.Sub(b.start)}))
	if len(b.running) != 0 || !b.returned(1) {
		t.Errorf("dispatches %v, returned %v; want none under an expired permit", b.running, b.returned(1))
	}
	if _, ok := b.registered["o0"]; !ok {
		t.Error("request is not registered again")
	}
}

func TestAtMostOneDispatchAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newHarness(4)
		repeats := rapid.IntRange(0, 2).Draw(t, "repeats")
		b.submit(bbtroute.Request{MaxRepeats: repeats})
		active, losses := 0, 0
		for n := range rapid.IntRange(1, 30).Draw(t, "events") {
			before := len(b.running)
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				owner := bbtfleet.HostID(fmt.Sprint("o", rapid.IntRange(0, 3).Draw(t, "owner")))
				b.grant(owner, bbtgrant.PermitID(n+1))
			case 2:
				if active > 0 {
					active, losses = 0, losses+1
					b.end(bbtgrant.Lost)
				}
			case 3:
				if active > 0 {
					active = 0
					b.end(bbtgrant.Refused)
				}
			case 4:
				b.record(b.entry.HostLost(b.now, bbtfleet.HostID(fmt.Sprint("o", rapid.IntRange(0, 3).Draw(t, "lost")))))
			case 5:
				for _, h := range b.owners() {
					delete(b.registered, h)
					b.record(b.entry.WasShed(b.now, h, bbtgrant.Shed{Request: 1, Reason: bbtverdict.ReasonPoolFull}))
				}
			default:
				b.advance(10 * time.Millisecond)
			}
			active += len(b.running) - before
			if active > 1 {
				t.Fatalf("%d dispatches under way, want at most one", active)
			}
			if len(b.running) > before && losses > repeats {
				t.Fatalf("dispatched after %d losses with %d repeats allowed", losses, repeats)
			}
			for _, r := range b.refused {
				if losses > 0 && r.Err.Verdict() == bbtverdict.NotRun {
					t.Fatalf("verdict not-run after %d losses", losses)
				}
			}
		}
	})
}

func TestRefusedAsPoolFullOnlyAfterAllOwnersShed(t *testing.T) {
	const owners = 5
	b := newHarness(owners)
	b.submit(bbtroute.Request{})
	b.advance(10 * time.Millisecond)
	shed := 0
	for len(b.owners()) > 0 {
		h := b.owners()[0]
		delete(b.registered, h)
		if len(b.refused) > 0 {
			t.Fatalf("refused after %d of %d owners shed", shed, owners)
		}
		shed++
		b.record(b.entry.WasShed(b.now, h, bbtgrant.Shed{Request: 1, Reason: bbtverdict.ReasonPoolFull, RetryAfter: time.Second}))
	}
	if got, want := b.refused[0].Err.RetryAfter(), time.Second; got != want {
		t.Errorf("retry after %v, want %v", got, want)
	}
	if shed != owners || len(b.refused) != 1 {
		t.Errorf("%d owners shed, %d refusals; want %d and 1", shed, len(b.refused), owners)
	}
}

func TestRegisteredElsewhereWhenAnOwnerDies(t *testing.T) {
	b := newHarness(3, bbtroute.WithOwnersPerRequest(1))
	b.submit(bbtroute.Request{})
	dead := b.owners()[0]
	delete(b.registered, dead)
	b.record(b.entry.HostLost(b.now, dead))
	if got := b.owners(); len(got) != 1 || got[0] == dead {
		t.Errorf("registered with %v after the death of %v", got, dead)
	}
}

func TestRetriesKeepToTheirBudget(t *testing.T) {
	b := newHarness(8)
	const requests = 100
	dispatched := 0
	for i := range requests {
		b.running, b.registered = nil, make(map[bbtfleet.HostID]bbtgrant.Registration)
		b.submit(bbtroute.Request{ID: 1, MaxRepeats: 5})
		for n := 0; len(b.owners()) > 0; n++ {
			b.grant(b.owners()[0], bbtgrant.PermitID(1000*i+n+1))
			dispatched++
			b.end(bbtgrant.Refused)
		}
	}
	if got, most := dispatched, requests+10+requests/10; got > most {
		t.Errorf("%d dispatches of %d requests that always fail, want at most %d", got, requests, most)
	}
}

func TestPrefixPicksTheFirstOwner(t *testing.T) {
	first := make(map[bbtfleet.HostID]int)
	for prefix := range uint64(64) {
		var chosen []bbtfleet.HostID
		for _, id := range []bbtgrant.RequestID{1, 2} {
			b := newHarness(8)
			b.submit(bbtroute.Request{ID: id, Prefix: prefix + 1})
			chosen = append(chosen, b.owners()...)
		}
		if len(chosen) != 2 || chosen[0] != chosen[1] {
			t.Fatalf("prefix %d goes to %v, want one owner for both", prefix, chosen)
		}
		first[chosen[0]]++
	}
	for h, n := range first {
		if n > 3*64/8 {
			t.Errorf("%v is first for %d of 64 prefixes, want a spread over 8 owners", h, n)
		}
	}
}

func TestDeadlineEndsTheWait(t *testing.T) {
	b := newHarness(2)
	b.submit(bbtroute.Request{})
	b.advance(time.Minute)
	if len(b.refused) != 1 || b.refused[0].Err.Reason() != bbtverdict.ReasonDeadlineUnreachable || len(b.owners()) != 0 {
		t.Errorf("refusals %v, registered with %v; want one refusal for the deadline", b.refused, b.owners())
	}
}

func TestRequestWithoutADeadline(t *testing.T) {
	b := newHarness(1)
	b.record(b.entry.Submit(b.now, bbtroute.Request{ID: 1, Pool: pool, Tier: 1}))
	if got := b.registered["o0"].TimeLeft; got <= 0 {
		t.Errorf("time left = %v without a deadline, want a positive time", got)
	}
	if got := b.entry.Next(); !got.IsZero() && got.After(b.now.Add(time.Second)) {
		t.Errorf("Next() = %v, want no tick for a deadline", got)
	}
}

func TestRefusalAfterEndpointRefusedGivesThatReason(t *testing.T) {
	b := newHarness(1)
	b.submit(bbtroute.Request{})
	b.grant("o0", 1)
	b.end(bbtgrant.Refused)
	if len(b.refused) != 1 || b.refused[0].Err.Reason() != bbtverdict.ReasonEndpointRefused {
		t.Errorf("refusals %v, want one because the only endpoint refused the dispatch", b.refused)
	}
}

func TestThirdRegistrationOnlyWhileOthersAreGrantedQuickly(t *testing.T) {
	b := newHarness(8)
	wait := func() int {
		b.registered = make(map[bbtfleet.HostID]bbtgrant.Registration)
		b.submit(bbtroute.Request{Prefix: 7})
		b.advance(10 * time.Millisecond)
		b.advance(200 * time.Millisecond)
		n := len(b.owners())
		b.grant(b.owners()[0], 1)
		b.end(bbtgrant.Finished)
		return n
	}
	if got, want := wait(), 3; got != want {
		t.Errorf("registered with %d owners after 0.2 s, want %d", got, want)
	}
	for range 50 {
		wait()
	}
	if got, want := wait(), 2; got != want {
		t.Errorf("registered with %d owners while all requests wait, want %d", got, want)
	}
}
