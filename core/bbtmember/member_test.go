package bbtmember_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtmember"
	"bluebelltray/core/bbtview"
	"github.com/fxamacker/cbor/v2"
)

// fleet is Members that exchange messages in virtual time without delay.
type fleet struct {
	now     time.Time
	members []*bbtmember.Detector
	stopped map[bbtfleet.HostID]bool
	lost    func(from, to bbtfleet.HostID) bool
	byID    map[bbtfleet.HostID]*bbtmember.Detector
	sent    int
	longest int // changes in a message
	changes []string
}

// name returns the name of the i-th host.
func name(i int) bbtfleet.HostID { return bbtfleet.HostID(fmt.Sprintf("h%d", i)) }

// newFleet returns a fleet of n hosts that have known each other for a while.
func newFleet(n int) *fleet {
	f := &fleet{
		now:     time.Unix(100, 0),
		stopped: make(map[bbtfleet.HostID]bool),
		lost:    func(_, _ bbtfleet.HostID) bool { return false },
		byID:    make(map[bbtfleet.HostID]*bbtmember.Detector),
	}
	var hosts []bbtfleet.Host
	for i := range n {
		hosts = append(hosts, bbtfleet.NewHost(name(i), "edin-a"))
	}
	for i := range n {
		m := bbtmember.New(name(i), 1, rand.New(rand.NewPCG(1, uint64(i))))
		m.SetHosts(f.now, bbtfleet.NewHostList(1, hosts))
		f.members = append(f.members, m)
		f.byID[name(i)] = m
	}
	f.run(30 * time.Second)
	f.changes = nil
	f.sent = 0
	return f
}

// run advances the time by d.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(bbtmember.TickInterval) {
		for i, m := range f.members {
			if !f.stopped[name(i)] {
				f.do(name(i), m.Tick(f.now, bbtview.Digest{}))
			}
		}
	}
}

// do carries out the actions of a host.
func (f *fleet) do(from bbtfleet.HostID, actions []bbtmember.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case bbtmember.StateChanged:
			f.changes = append(f.changes, fmt.Sprintf("%s: %s %s", from, a.Host, a.State))
		case bbtmember.Send:
			f.sent++
			if p, ok := a.Message.(bbtmember.Ping); ok {
				f.longest = max(f.longest, len(p.Changes))
			}
			if !f.stopped[a.To] && !f.lost(from, a.To) {
				f.do(a.To, f.byID[a.To].Receive(f.now, from, a.Message, bbtview.Digest{}))
			}
		}
	}
}

// states returns the number of running hosts that believe the host to be in the
// state.
func (f *fleet) states(id bbtfleet.HostID, s bbtmember.State) int {
	n := 0
	for i, m := range f.members {
		if name(i) != id && !f.stopped[name(i)] && m.State(id) == s {
			n++
		}
	}
	return n
}

func TestDeathIsKnownEverywhere(t *testing.T) {
	for _, n := range []int{3, 8, 60} {
		f := newFleet(n)
		f.stopped["h1"] = true
		f.run(15 * time.Second)
		if got := f.states("h1", bbtmember.Dead); got != n-1 {
			t.Errorf("%d hosts: got %d that know of the death, want %d", n, got, n-1)
		}
		if got := len(f.changes); got < n-1 || got > 2*(n-1) {
			t.Errorf("%d hosts: got changes %v, want only the death of h1", n, f.changes)
		}
	}
}

func TestManyDeathsAreKnownEverywhere(t *testing.T) {
	f := newFleet(40)
	for i := range 20 {
		f.stopped[name(i)] = true
	}
	f.run(40 * time.Second)
	for i := range 20 {
		if got := f.states(name(i), bbtmember.Dead); got != 20 {
			t.Errorf("%s: got %d hosts that know of the death, want 20", name(i), got)
		}
	}
}

func TestManyLeavingKeepMessagesSmall(t *testing.T) {
	f := newFleet(40)
	for i := range 20 {
		f.do(name(i), f.members[i].Leave(f.now, bbtview.Digest{}))
	}
	f.run(time.Second)
	for i := range 20 {
		f.stopped[name(i)] = true
	}
	f.run(40 * time.Second)
	for i := range 20 {
		if got := f.states(name(i), bbtmember.Leaving); got != 20 {
			t.Errorf("%s: got %d hosts that know it leaving, want 20", name(i), got)
		}
	}
	if got, want := f.longest, bbtmember.MaxChanges; got != want {
		t.Errorf("got up to %d changes in a message, want %d", got, want)
	}
}

func TestCutLinkIsNoDeath(t *testing.T) {
	f := newFleet(8)
	f.lost = func(from, to bbtfleet.HostID) bool { return from == "h1" && to == "h2" }
	f.run(time.Minute)
	if len(f.changes) != 0 {
		t.Errorf("got changes %v, want none, as others reach both hosts", f.changes)
	}
}

func TestFrozenHostReturns(t *testing.T) {
	f := newFleet(8)
	f.stopped["h1"] = true
	f.run(20 * time.Second)
	f.stopped["h1"] = false
	f.changes = nil
	f.run(30 * time.Second)
	if got := f.states("h1", bbtmember.Alive); got != 7 {
		t.Errorf("got %d hosts that believe it alive, want 7", got)
	}
	for i := range 8 {
		if got := f.states(name(i), bbtmember.Dead); got != 0 {
			t.Errorf("%s: got %d hosts that believe it dead after the pause: %v", name(i), got, f.changes)
		}
	}
}

func TestPausedHostAccusesNobody(t *testing.T) {
	f := newFleet(8)
	m := f.members[1]
	f.now = f.now.Add(bbtmember.TickInterval)
	f.stopped["h1"] = true
	m.Tick(f.now, bbtview.Digest{})
	actions := m.Tick(f.now.Add(10*time.Second), bbtview.Digest{})
	if len(actions) != 1 {
		t.Fatalf("got %v, want one Paused", actions)
	}
	if got, ok := actions[0].(bbtmember.Paused); !ok || got.Gap != 10*time.Second {
		t.Errorf("got %v, want a pause of 10 s", actions[0])
	}
}

func TestLeavingIsKnownWithinSeconds(t *testing.T) {
	f := newFleet(60)
	f.do("h1", f.members[1].Leave(f.now, bbtview.Digest{}))
	f.run(3 * time.Second)
	if got := f.states("h1", bbtmember.Leaving); got != 59 {
		t.Errorf("got %d hosts that know it leaving, want 59", got)
	}
}

func TestNewIncarnationReplacesDeath(t *testing.T) {
	f := newFleet(8)
	f.stopped["h1"] = true
	f.run(15 * time.Second)
	m := bbtmember.New("h1", 2, rand.New(rand.NewPCG(2, 2)))
	var hosts []bbtfleet.Host
	for i := range 8 {
		hosts = append(hosts, bbtfleet.NewHost(name(i), "edin-a"))
	}
	m.SetHosts(f.now, bbtfleet.NewHostList(1, hosts))
	f.members[1], f.byID["h1"] = m, m
	f.stopped["h1"] = false
	f.run(10 * time.Second)
	if got := f.states("h1", bbtmember.Alive); got != 7 {
		t.Errorf("got %d hosts that believe the new process alive, want 7", got)
	}
}

func TestReturnOfAnUnknownProcessIsReported(t *testing.T) {
	m := bbtmember.New("h0", 1, rand.New(rand.NewPCG(1, 1)))
	hosts := []bbtfleet.Host{bbtfleet.NewHost("h0", "z"), bbtfleet.NewHost("h1", "z"), bbtfleet.NewHost("h2", "z")}
	now := time.Unix(0, 0)
	m.SetHosts(now, bbtfleet.NewHostList(1, hosts))
	m.Receive(now, "h2", bbtmember.Ping{Seq: 1, Incarnation: 1, Changes: []bbtmember.Change{{Host: "h1", State: bbtmember.Dead}}}, bbtview.Digest{})
	if got := m.State("h1"); got != bbtmember.Dead {
		t.Fatalf("got state %v, want dead", got)
	}
	for _, a := range m.Receive(now, "h1", bbtmember.Ping{Seq: 1, Incarnation: 1}, bbtview.Digest{}) {
		if c, ok := a.(bbtmember.StateChanged); ok && c.Host == "h1" && c.State == bbtmember.Alive {
			return
		}
	}
	t.Error("got no Changed to alive")
}

func TestCostDoesNotGrowWithTheFleet(t *testing.T) {
	const seconds = 20
	for _, n := range []int{20, 60, 120} {
		f := newFleet(n)
		f.run(seconds * time.Second)
		if got, want := f.sent/n/seconds, 3; got > want {
			t.Errorf("%d hosts: got %d messages a second and host, want at most %d", n, got, want)
		}
	}
}

func TestEveryHostIsProbed(t *testing.T) {
	f := newFleet(200)
	probed := make(map[bbtfleet.HostID]int)
	for _, m := range f.members {
		for _, id := range m.Neighbours() {
			probed[id]++
		}
	}
	for i := range 200 {
		if got := probed[name(i)]; got < 2 {
			t.Errorf("%s: got %d hosts that probe it, want 2 or more", name(i), got)
		}
	}
}

func TestMessagesAreSmall(t *testing.T) {
	d := bbtview.Digest{Revision: 100_000, Content: 1 << 63, Hosts: 100_000, Age: 10_000}
	ping := bbtmember.Ping{Seq: 1 << 20, Incarnation: 1 << 60, Digest: d}
	for _, c := range []struct{ changes, want int }{{0, 52}, {bbtmember.MaxChanges, 250}} {
		for len(ping.Changes) < c.changes {
			ping.Changes = append(ping.Changes, bbtmember.Change{Host: "host-001", Incarnation: 1 << 60, State: bbtmember.Dead})
		}
		data, err := cbor.Marshal(ping)
		if err != nil {
			t.Fatal(err)
		}
		if got := len(data); got > c.want {
			t.Errorf("%d changes: got %d bytes, want at most %d", c.changes, got, c.want)
		}
	}
}

func TestPartnersAreProbedWhateverIsBelieved(t *testing.T) {
	f := newFleet(60)
	m := f.members[0]
	partners := []bbtfleet.HostID{"h7", "h8"}
	m.SetPartners(partners)
	f.stopped["h8"] = true
	for range 20 {
		f.run(bbtmember.PartnerInterval)
		c := m.Contact("h7")
		if got, most := f.now.Sub(c.LastAckedPing()), 2*bbtmember.PartnerInterval; got > most {
			t.Fatalf("got an answered probe %v ago, want at most %v", got, most)
		}
		if c.LastHeard().Before(c.LastAckedPing()) {
			t.Fatalf("heard at %v, before the probe answered at %v was sent", c.LastHeard(), c.LastAckedPing())
		}
	}
	if got := m.Contact("h8").LastHeard(); f.now.Sub(got) < 20*bbtmember.PartnerInterval {
		t.Errorf("got a message of the stopped host at %v", got)
	}
	f.stopped["h8"] = false
	back := f.now
	f.run(2 * bbtmember.PartnerInterval)
	if got := m.Contact("h7").Answering(); !got.Before(back.Add(-bbtmember.MaxAnswerGap)) {
		t.Errorf("got answers since %v of a host that never stopped, want from before", got)
	}
	if got := m.Contact("h8").Answering(); got.Before(back) {
		t.Errorf("got answers since %v, before the host returned at %v", got, back)
	}
	if got, most := f.now.Sub(m.Contact("h8").LastAckedPing()), 2*bbtmember.PartnerInterval; got > most {
		t.Errorf("got an answered probe of the host that returned %v ago, want at most %v", got, most)
	}
}

func TestAnswerOfAFormerProcessIsNoContact(t *testing.T) {
	m := bbtmember.New("h0", 1, rand.New(rand.NewPCG(1, 1)))
	hosts := []bbtfleet.Host{bbtfleet.NewHost("h0", "z"), bbtfleet.NewHost("h1", "z")}
	now := time.Unix(100, 0)
	m.SetHosts(now, bbtfleet.NewHostList(1, hosts))
	m.SetPartners([]bbtfleet.HostID{"h1"})
	var seq uint32
	for _, a := range m.Tick(now, bbtview.Digest{}) {
		if s, ok := a.(bbtmember.Send); ok {
			seq = s.Message.(bbtmember.Ping).Seq
		}
	}
	m.Receive(now, "h1", bbtmember.Ping{Seq: 9, Incarnation: 3}, bbtview.Digest{})
	later := now.Add(time.Second)
	m.Receive(later, "h1", bbtmember.Ack{Seq: seq, Incarnation: 2}, bbtview.Digest{})
	if c := m.Contact("h1"); !c.LastAckedPing().IsZero() || !c.LastHeard().Equal(now) {
		t.Errorf("got contact heard %v, acked %v, want the former process's answer left alone", c.LastHeard(), c.LastAckedPing())
	}
}

func TestContactOutlivesTheHostList(t *testing.T) {
	f := newFleet(8)
	m := f.members[0]
	m.SetPartners([]bbtfleet.HostID{"h1"})
	m.SetHosts(f.now, bbtfleet.NewHostList(2, []bbtfleet.Host{bbtfleet.NewHost("h0", "edin-a"), bbtfleet.NewHost("h2", "edin-a")}))
	dropped := f.now
	f.run(2 * bbtmember.PartnerInterval)
	if c := m.Contact("h1"); !c.LastHeard().After(dropped) || !c.LastAckedPing().After(dropped) {
		t.Errorf("got contact heard %v, acked %v, want both after the host left the list at %v", c.LastHeard(), c.LastAckedPing(), dropped)
	}
}

func TestUnlistedHostIsMetAndPassedOn(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	list := func(ids ...bbtfleet.HostID) bbtfleet.HostList {
		var hosts []bbtfleet.Host
		for _, id := range ids {
			hosts = append(hosts, bbtfleet.NewHost(id, "zone"))
		}
		return bbtfleet.NewHostList(1, hosts)
	}
	seed := bbtmember.New("seed", 5, rand.New(rand.NewPCG(1, 1)))
	seed.SetHosts(now, list("seed", "old"))
	var met []bbtmember.HostDiscovered
	for _, a := range seed.Receive(now, "new", bbtmember.Ping{Seq: 1, Incarnation: 9}, bbtview.Digest{}) {
		if m, ok := a.(bbtmember.HostDiscovered); ok {
			met = append(met, m)
		}
	}
	if len(met) != 1 || met[0].Change.Host != "new" || met[0].Change.Incarnation != 9 || !met[0].Direct {
		t.Fatalf("got %+v, want new met", met)
	}
	seed.SetHosts(now, list("seed", "old", "new"))
	told := false
	for _, a := range append(seed.AddDiscovered(now, met[0].Change), seed.Tick(now, bbtview.Digest{})...) {
		s, ok := a.(bbtmember.Send)
		if !ok {
			continue
		}
		if p, ok := s.Message.(bbtmember.Ping); ok && s.To == "old" {
			for _, c := range p.Changes {
				told = told || c.Host == "new" && c.Incarnation == 9
			}
		}
	}
	if !told {
		t.Error("got no ping that tells old of new")
	}
	if got := seed.Incarnation("new"); got != 9 {
		t.Errorf("got incarnation %d, want 9", got)
	}
	if got := seed.KnownStates(); len(got) != 2 {
		t.Errorf("got roster %+v, want seed and new", got)
	}
}

func TestHostThatLeftTheListIsMetAgainInANewProcessAlone(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	m := bbtmember.New("a", 5, rand.New(rand.NewPCG(1, 1)))
	both := bbtfleet.NewHostList(1, []bbtfleet.Host{bbtfleet.NewHost("a", "z"), bbtfleet.NewHost("b", "z")})
	m.SetHosts(now, both)
	m.Receive(now, "b", bbtmember.Ping{Seq: 1, Incarnation: 7}, bbtview.Digest{})
	m.SetHosts(now, bbtfleet.NewHostList(2, both.Hosts()[:1]))
	for incarnation, want := range map[uint64]bool{7: false, 8: true} {
		got := false
		for _, a := range m.Merge(now, []bbtmember.Change{{Host: "b", Incarnation: incarnation}}) {
			_, isMet := a.(bbtmember.HostDiscovered)
			got = got || isMet
		}
		if got != want {
			t.Errorf("incarnation %d: got met %t, want %t", incarnation, got, want)
		}
	}
}
