package bbtgrant_test

import (
	"flag"
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtverdict"
	"pgregory.net/rapid"
)

const (
	lease          = 2 * time.Second
	permitLifetime = time.Second
	slots          = 8
	pool           = bbtfleet.PoolID("p")
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "100")
}

// harness drives an Owner of one endpoint and records the permits it grants.
type harness struct {
	owner   *bbtgrant.Owner
	now     time.Time
	last    bbtgrant.RequestID
	running []bbtgrant.Permit
}

func newHarness() *harness {
	b := &harness{owner: bbtgrant.New(bbtgrant.WithLease(lease), bbtgrant.WithPermitLifetime(permitLifetime)), now: time.Unix(1000, 0)}
	ep := bbtfleet.NewEndpoint("e", "z", bbtfleet.ModelEngine, pool, bbtfleet.WithSlots(slots))
	b.record(b.owner.SetEndpoints(b.now, []bbtfleet.Endpoint{ep}))
	b.record(b.owner.ConfirmView(b.now))
	return b
}

// record keeps the permits among the actions and returns their number.
func (b *harness) record(actions []bbtgrant.Action) int {
	n := 0
	for _, a := range actions {
		if g, ok := a.(bbtgrant.Grant); ok {
			b.running = append(b.running, g.Permit)
			n++
		}
	}
	return n
}

// advance moves the clock forward in steps of 100 ms, and confirms the view and
// calls Tick at each. It returns the number of permits granted.
func (b *harness) advance(d time.Duration) int {
	n := 0
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(100 * time.Millisecond)
		n += b.record(b.owner.ConfirmView(b.now))
		n += b.record(b.owner.Tick(b.now))
	}
	return n
}

func (b *harness) register(r bbtgrant.Registration) []bbtgrant.Action {
	b.last++
	r.Request, r.Pool, r.Account, r.InputTokens, r.OutputTokens = b.last, pool, "a", 10, 10
	if r.Tier == 0 {
		r.Tier = 1
	}
	if r.TimeLeft == 0 {
		r.TimeLeft = time.Minute
	}
	actions := b.owner.Register(b.now, "h", r)
	b.record(actions)
	return actions
}

func (b *harness) report(r bbtgrant.LoadReport) int {
	r.Endpoint = "e"
	return b.record(b.owner.UpdateLoad(b.now, r))
}

// finish ends the dispatch under the oldest running permit.
func (b *harness) finish(o bbtgrant.Outcome) int {
	p := b.running[0]
	b.running = b.running[1:]
	return b.record(b.owner.DispatchEnded(b.now, "h", bbtgrant.DispatchEnded{Permit: p.ID, Outcome: o, OutputTokens: 10, TimeToFirstToken: 100 * time.Millisecond, Elapsed: 300 * time.Millisecond}))
}

// warm lets the former owner's lease end and reports the endpoint as warm.
func (b *harness) warm() {
	b.advance(lease + permitLifetime)
	b.report(bbtgrant.LoadReport{Incarnation: 1, Served: 1000, MeasuredAt: b.now})
}

func TestNeverMorePermitsThanSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newHarness()
		b.warm()
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				b.register(bbtgrant.Registration{})
			case 2:
				if len(b.running) > 0 {
					b.finish(bbtgrant.Finished)
				}
			case 3:
				if len(b.running) > 0 {
					p := b.running[0]
					b.running = b.running[1:]
					b.record(b.owner.Return(b.now, "h", p.ID))
				}
			default:
				b.advance(time.Second)
			}
			if got := len(b.running); got > slots {
				t.Fatalf("%d permits outstanding, want at most %d", got, slots)
			}
		}
	})
}

func TestHigherTierIsGrantedFirst(t *testing.T) {
	b := newHarness()
	b.register(bbtgrant.Registration{})
	low, high := bbtgrant.Registration{Tier: 3}, bbtgrant.Registration{Tier: 1}
	b.register(low)
	b.register(high)
	b.running = b.running[:1]
	b.finish(bbtgrant.Finished)
	if got, want := b.running[0].Request, b.last; got != want {
		t.Errorf("request %d granted, want %d of the higher tier", got, want)
	}
}

func TestCachedPrefixGoesFirstWithinItsTier(t *testing.T) {
	b := newHarness()
	b.register(bbtgrant.Registration{Prefix: 7})
	b.register(bbtgrant.Registration{Tier: 2})
	b.register(bbtgrant.Registration{Tier: 3})
	b.register(bbtgrant.Registration{Tier: 3, Prefix: 7})
	for _, want := range []bbtgrant.RequestID{2, 4, 3} {
		b.finish(bbtgrant.Finished)
		if got := b.running[0].Request; got != want {
			t.Errorf("request %d granted, want %d", got, want)
		}
	}
}

func TestNoGrantWithoutAFreshView(t *testing.T) {
	b := newHarness()
	b.now = b.now.Add(lease)
	b.register(bbtgrant.Registration{})
	if got := len(b.running); got != 0 {
		t.Errorf("%d permits with a stale view, want 0", got)
	}
	if got, want := b.record(b.owner.ConfirmView(b.now)), 1; got != want {
		t.Errorf("%d permits after a confirmation, want %d", got, want)
	}
}

func TestColdEndpointRampsFromOne(t *testing.T) {
	b := newHarness()
	b.advance(lease + permitLifetime)
	for range 3 * slots {
		b.register(bbtgrant.Registration{})
	}
	if got, want := len(b.running), 1; got != want {
		t.Fatalf("%d permits on a cold endpoint, want %d", got, want)
	}
	want := 1
	for range 3 {
		b.finish(bbtgrant.Finished)
		b.advance(4 * time.Second)
		b.finish(bbtgrant.Finished)
		want *= 2
		if got := len(b.running); got > want {
			t.Errorf("%d permits, want at most %d", got, want)
		}
	}
	if got := len(b.running); got < slots/2 {
		t.Errorf("%d permits after three steps, want at least %d", got, slots/2)
	}
}

func TestSignsThatLimitAnEndpointToOnePermit(t *testing.T) {
	signs := map[string]func(b *harness){
		"new incarnation": func(b *harness) { b.report(bbtgrant.LoadReport{Incarnation: 2, MeasuredAt: b.now}) },
		"error burst":     func(b *harness) { b.finish(bbtgrant.Lost); b.finish(bbtgrant.Lost) },
		"refused":         func(b *harness) { b.finish(bbtgrant.Refused) },
	}
	for name, sign := range signs {
		b := newHarness()
		b.warm()
		for range 4 {
			b.register(bbtgrant.Registration{})
		}
		b.now = b.now.Add(time.Millisecond)
		sign(b)
		for len(b.running) > 0 {
			b.finish(bbtgrant.Cancelled)
		}
		b.advance(2 * time.Second)
		for range 4 {
			b.register(bbtgrant.Registration{})
		}
		if got, want := len(b.running), 1; got != want {
			t.Errorf("%s: %d permits, want %d", name, got, want)
		}
	}
}

func TestReportFromBeforeTheTakeoverDoesNotWarmTheEndpoint(t *testing.T) {
	b := newHarness()
	b.advance(lease + permitLifetime)
	b.report(bbtgrant.LoadReport{Incarnation: 1, Served: 1000, MeasuredAt: b.now.Add(-time.Minute)})
	b.register(bbtgrant.Registration{})
	b.register(bbtgrant.Registration{})
	if got, want := len(b.running), 1; got != want {
		t.Errorf("%d permits, want %d", got, want)
	}
}

func TestTakeoverLeavesCapacityToTheFormerOwner(t *testing.T) {
	b := newHarness()
	b.now = b.now.Add(100 * time.Millisecond)
	b.report(bbtgrant.LoadReport{Incarnation: 1, Served: 1000, Running: slots / 2, MeasuredAt: b.now})
	for range slots {
		b.register(bbtgrant.Registration{})
	}
	if got, want := len(b.running), slots/4; got != want {
		t.Errorf("%d permits within the former owner's lease, want half of the capacity that other owners leave, %d", got, want)
	}
	b.advance(lease + permitLifetime)
	if got, want := len(b.running), slots/2; got != want {
		t.Errorf("%d permits after the lease, want all capacity that other owners leave, %d", got, want)
	}
}

// The permits of a dead host count until disconnectDelay (2 s) after the latest
// time at which they can expire. The first wait ends before that, the second after
// it. The endpoint is cold and allows one request at a time.
func TestDeadHostsPermitsCountUntilConnectionsClose(t *testing.T) {
	b := newHarness()
	b.register(bbtgrant.Registration{})
	b.owner.EntryHostLost(b.now, "h")
	b.record(b.owner.Register(b.now, "i", bbtgrant.Registration{Request: 1, Pool: pool, Tier: 1, TimeLeft: time.Minute}))
	b.advance(permitLifetime)
	if got, want := len(b.running), 1; got != want {
		t.Fatalf("%d permits while connections of the dead host may be open, want %d", got, want)
	}
	b.advance(lease + permitLifetime)
	if got, want := len(b.running), 2; got != want {
		t.Errorf("%d permits after that, want %d", got, want)
	}
}

func TestPermitExpiresByTheEntryHostsClock(t *testing.T) {
	b := newHarness()
	b.register(bbtgrant.Registration{})
	b.register(bbtgrant.Registration{SentAt: time.Hour})
	b.advance(500 * time.Millisecond)
	b.finish(bbtgrant.Finished)
	if got, want := b.running[0].Expiry, time.Hour+500*time.Millisecond+permitLifetime; got != want {
		t.Errorf("expiry = %v, want %v", got, want)
	}
}

func TestUnreachableDeadlineIsShedAtOnce(t *testing.T) {
	b := newHarness()
	actions := b.register(bbtgrant.Registration{TimeLeft: time.Millisecond})
	s, ok := actions[0].(bbtgrant.Shed)
	if !ok || s.Reason != bbtverdict.ReasonDeadlineUnreachable {
		t.Errorf("got %+v, want the request shed for its deadline", actions)
	}
}

func TestRefusalWithoutLoadReportsRampsAgain(t *testing.T) {
	b := newHarness()
	b.advance(lease + permitLifetime)
	b.register(bbtgrant.Registration{})
	b.finish(bbtgrant.Refused)
	for range 2 * slots {
		b.register(bbtgrant.Registration{})
	}
	for range 8 {
		b.advance(5 * time.Second)
		b.finish(bbtgrant.Finished)
		if got := len(b.running); got >= 2 {
			return
		}
	}
	t.Errorf("%d permits, want the ramp to continue", len(b.running))
}
