package bbtowner_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtowner"
	"github.com/fxamacker/cbor/v2"
)

const endpoint = bbtfleet.EndpointID("llm-1")

// step is the time between the deliveries of messages.
const step = 100 * time.Millisecond

// fleet is electors that exchange messages in virtual time.
type fleet struct {
	t        *testing.T
	now      time.Time
	electors map[bbtfleet.HostID]*bbtowner.Elector
	maps     map[bbtfleet.HostID]*bbtowner.Map
	lost     func(from, to bbtfleet.HostID) bool
}

// newFleet returns a fleet of hosts that share a placement.
func newFleet(t *testing.T, m *bbtowner.Map, hosts ...bbtfleet.HostID) *fleet {
	f := &fleet{
		t:        t,
		now:      time.Unix(100, 0),
		electors: make(map[bbtfleet.HostID]*bbtowner.Elector),
		maps:     make(map[bbtfleet.HostID]*bbtowner.Map),
		lost:     func(_, _ bbtfleet.HostID) bool { return false },
	}
	for _, id := range hosts {
		f.start(id, m)
	}
	return f
}

// start starts a process of the host under a placement.
func (f *fleet) start(id bbtfleet.HostID, m *bbtowner.Map) {
	f.electors[id] = bbtowner.NewElector(id, f.now, rand.New(rand.NewPCG(1, uint64(id[0]))))
	f.place(id, m)
}

// place gives the host a placement.
func (f *fleet) place(id bbtfleet.HostID, m *bbtowner.Map) {
	f.maps[id] = m
	f.do(id, f.electors[id].SetMap(f.now, m))
}

// do carries out the actions of a host.
func (f *fleet) do(from bbtfleet.HostID, actions []bbtowner.Action) {
	for _, a := range actions {
		s, ok := a.(bbtowner.Send)
		if !ok || f.lost(from, s.To) || f.electors[s.To] == nil {
			continue
		}
		f.do(s.To, f.electors[s.To].Receive(f.now, from, s.Message))
	}
}

// run advances the time by d and checks that nobody owns the endpoint besides
// another one.
func (f *fleet) run(d time.Duration) {
	f.t.Helper()
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for _, id := range slices.Sorted(maps.Keys(f.electors)) {
			f.do(id, f.electors[id].Tick(f.now))
			if got := f.owners(); len(got) > 1 {
				f.t.Fatalf("at %v: got owners %v, want at most one", f.now.Unix(), got)
			}
		}
	}
}

// owners returns the hosts that own the endpoint.
func (f *fleet) owners() []bbtfleet.HostID {
	var out []bbtfleet.HostID
	for _, id := range slices.Sorted(maps.Keys(f.electors)) {
		if f.electors[id].Holds(f.now, endpoint) {
			out = append(out, id)
		}
	}
	return out
}

// want checks who owns the endpoint.
func (f *fleet) want(want ...bbtfleet.HostID) {
	f.t.Helper()
	if got := f.owners(); !slices.Equal(got, want) {
		f.t.Fatalf("got owners %v, want %v", got, want)
	}
}

// between returns a loss of all messages between hosts of a and others.
func between(a ...bbtfleet.HostID) func(from, to bbtfleet.HostID) bool {
	return func(from, to bbtfleet.HostID) bool { return slices.Contains(a, from) != slices.Contains(a, to) }
}

// placement returns the placement of the endpoint on hosts of zones of their
// own.
func placement(list bbtfleet.Revision, hosts ...bbtfleet.HostID) *bbtowner.Map {
	var l []bbtfleet.Host
	for _, id := range hosts {
		l = append(l, bbtfleet.NewHost(id, bbtfleet.ZoneID("zone-of-"+id)))
	}
	cfg := bbtfleet.NewConfiguration(bbtfleet.NewVersion(1, 1),
		bbtfleet.WithEndpoints(bbtfleet.NewEndpoint(endpoint, "zone", bbtfleet.ModelEngine, "summary")))
	return bbtowner.NewMap(cfg, bbtfleet.NewHostList(list, l))
}

// trio returns a fleet of three hosts whose first elector owns the endpoint,
// and the hosts in rank order.
func trio(t *testing.T) (*fleet, []bbtfleet.HostID) {
	t.Helper()
	m := placement(1, "a", "b", "c")
	f := newFleet(t, m, "a", "b", "c")
	f.run(10 * time.Second)
	ranks := m.Ranks(endpoint)
	f.want(ranks[0])
	return f, ranks
}

func TestSuccessorWaitsForLease(t *testing.T) {
	f, r := trio(t)
	f.lost = between(r[0])
	f.run(bbtowner.LeaseFor)
	f.want()
	f.run(4 * time.Second)
	f.want(r[1])
}

func TestBetterRankReturns(t *testing.T) {
	f, r := trio(t)
	f.lost = between(r[0])
	f.run(10 * time.Second)
	before, ok := f.electors[r[1]].Fence(f.now, endpoint)
	if !ok {
		t.Fatal("successor has no fence")
	}
	f.lost = between()
	f.run(10 * time.Second)
	f.want(r[0])
	if after, _ := f.electors[r[0]].Fence(f.now, endpoint); after.Compare(before) <= 0 {
		t.Errorf("got fence %v after %v, want a later one", after, before)
	}
}

func TestRestartedElectorKeepsFormerPromise(t *testing.T) {
	f, r := trio(t)
	f.lost = func(from, to bbtfleet.HostID) bool {
		return from == r[0] && to == r[1] || from == r[1] && to == r[0]
	}
	for offset := range bbtowner.AskInterval / step {
		f.run(10*time.Second + offset*step)
		if got := f.owners(); len(got) != 1 {
			t.Fatalf("got owners %v, want one", got)
		}
		f.start(r[2], f.maps[r[2]])
	}
}

func TestBetterRankKeepsItsVote(t *testing.T) {
	f, r := trio(t)
	f.start(r[0], f.maps[r[0]])
	f.now = f.now.Add(bbtowner.PromiseFor)
	ask := bbtowner.LeaseAsk{Seq: 9, Claims: []bbtowner.Claim{{Endpoint: string(endpoint)}}}
	for _, a := range f.electors[r[0]].Receive(f.now, r[1], ask) {
		if s, ok := a.(bbtowner.Send); ok && s.Message.(bbtowner.LeaseAnswer).Votes[0].Granted {
			t.Error("the first elector has voted for the second")
		}
	}
	f.run(bbtowner.PromiseFor)
	f.want(r[0])
}

func TestReplacedElectorsKeepTheirSay(t *testing.T) {
	old, next, r := replacement()
	f := newFleet(t, old, r...)
	f.run(10 * time.Second)
	f.want(r[0])

	f.lost = between(r[0], r[1])
	f.place(r[2], next)
	f.start("m", next)
	f.start("n", next)
	f.run(30 * time.Second)
	f.want(r[0])

	f.lost = between()
	f.place(r[0], next)
	f.place(r[1], next)
	f.run(20 * time.Second)
	f.want(next.Ranks(endpoint)[0])
}

func TestNewElectorsNeedAll(t *testing.T) {
	old, next, r := replacement()
	f := newFleet(t, old, r...)
	f.run(10 * time.Second)

	f.lost = between(r...)
	f.start("m", next)
	f.start("n", next)
	f.run(30 * time.Second)
	f.want(r[0])
}

// replacement returns two placements of which the second has two new electors,
// as the first two of the old ones are leaving, and the old electors.
func replacement() (old, next *bbtowner.Map, ranks []bbtfleet.HostID) {
	old = placement(1, "a", "b", "c")
	ranks = old.Ranks(endpoint)
	l := []bbtfleet.Host{
		bbtfleet.NewHost(ranks[0], "zone-0", bbtfleet.WithHostState(bbtfleet.HostLeaving)),
		bbtfleet.NewHost(ranks[1], "zone-1", bbtfleet.WithHostState(bbtfleet.HostLeaving)),
		bbtfleet.NewHost(ranks[2], "zone-2"),
		bbtfleet.NewHost("m", "zone-3"),
		bbtfleet.NewHost("n", "zone-4"),
	}
	return old, bbtowner.NewMap(old.Configuration(), bbtfleet.NewHostList(2, l)), ranks
}

func TestOvertakenReleaseCountsForNothing(t *testing.T) {
	f, r := trio(t)
	f.electors[r[1]].Receive(f.now, r[0], bbtowner.Release{Seq: 1, Endpoints: []string{string(endpoint)}})
	f.now = f.now.Add(bbtowner.GrantFor + step)
	if got := f.electors[r[1]].Holder(f.now, endpoint); got != r[0] {
		t.Errorf("got support for %q, want %q", got, r[0])
	}
}

func TestLeavingOwnerHandsOver(t *testing.T) {
	f, r := trio(t)
	f.do(r[0], f.electors[r[0]].Leave(f.now))
	f.run(bbtowner.GrantFor - step)
	f.want()
	f.run(bbtowner.AskInterval)
	f.want(r[1])
}

func TestSingleHostOwns(t *testing.T) {
	m := placement(1, "a")
	f := newFleet(t, m, "a")
	f.run(10 * time.Second)
	f.want("a")
}

func TestOutrankedOwnerRaisesEpoch(t *testing.T) {
	f, r := trio(t)
	f.electors[r[0]].Outranked(endpoint, 40)
	if got, _ := f.electors[r[0]].Fence(f.now, endpoint); got.Epoch() != 41 {
		t.Errorf("got epoch %d, want 41", got.Epoch())
	}
}

func TestMessageSizes(t *testing.T) {
	v := bbtowner.View{Config: 100_000, List: 100_000}
	for _, c := range []struct {
		msg  any
		want int
	}{
		{bbtowner.LeaseAsk{Seq: 1 << 20, View: v, Claims: []bbtowner.Claim{{Endpoint: "llm-001", Epoch: 300, Held: true}}}, 40},
		{bbtowner.LeaseAnswer{Seq: 1 << 20, View: v, Votes: []bbtowner.Vote{{Granted: true, Epoch: 300}}}, 32},
	} {
		data, err := cbor.Marshal(c.msg)
		if err != nil {
			t.Fatal(err)
		}
		if got := len(data); got > c.want {
			t.Errorf("%T: got %d bytes, want at most %d", c.msg, got, c.want)
		}
	}
}
