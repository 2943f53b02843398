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

// fleet is a set of Detectors that exchange messages in simulated time without
// delay.
type fleet struct {
	now          time.Time
	detectors    []*bbtmember.Detector
	stopped      map[bbtfleet.HostID]bool
	dropped      func(from, to bbtfleet.HostID) bool
	byID         map[bbtfleet.HostID]*bbtmember.Detector
	sent         int      // messages
	maxChanges   int      // largest number of changes in a Ping
	stateChanges []string // of all hosts, as "observer: host state"
}

// hostID returns the ID of the i-th host.
func hostID(i int) bbtfleet.HostID { return bbtfleet.HostID(fmt.Sprintf("h%d", i)) }

// newFleet returns a fleet of n hosts that have run for 30 s.
func newFleet(n int) *fleet {
	f := &fleet{
		now:     time.Unix(100, 0),
		stopped: make(map[bbtfleet.HostID]bool),
		dropped: func(_, _ bbtfleet.HostID) bool { return false },
		byID:    make(map[bbtfleet.HostID]*bbtmember.Detector),
	}
	var hosts []bbtfleet.Host
	for i := range n {
		hosts = append(hosts, bbtfleet.NewHost(hostID(i), "edin-a"))
	}
	for i := range n {
		detector := bbtmember.New(hostID(i), 1, rand.New(rand.NewPCG(1, uint64(i))))
		detector.SetHosts(f.now, bbtfleet.NewHostList(1, hosts))
		f.detectors = append(f.detectors, detector)
		f.byID[hostID(i)] = detector
	}
	f.run(30 * time.Second)
	f.stateChanges = nil
	f.sent = 0
	return f
}

// run advances the time by d.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(bbtmember.TickInterval) {
		for i, detector := range f.detectors {
			if !f.stopped[hostID(i)] {
				f.perform(hostID(i), detector.Tick(f.now, bbtview.Digest{}))
			}
		}
	}
}

// perform carries out the actions of a host's Detector.
func (f *fleet) perform(from bbtfleet.HostID, actions []bbtmember.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case bbtmember.StateChanged:
			f.stateChanges = append(f.stateChanges, fmt.Sprintf("%s: %s %s", from, a.Host, a.State))
		case bbtmember.Send:
			f.sent++
			if p, ok := a.Message.(bbtmember.Ping); ok {
				f.maxChanges = max(f.maxChanges, len(p.Changes))
			}
			if !f.stopped[a.To] && !f.dropped(from, a.To) {
				f.perform(a.To, f.byID[a.To].Receive(f.now, from, a.Message, bbtview.Digest{}))
			}
		}
	}
}

// countState returns the number of other running hosts that believe the host to
// be in the state.
func (f *fleet) countState(id bbtfleet.HostID, s bbtmember.State) int {
	n := 0
	for i, detector := range f.detectors {
		if hostID(i) != id && !f.stopped[hostID(i)] && detector.State(id) == s {
			n++
		}
	}
	return n
}

func TestDeadHostIsDetectedByAllHosts(t *testing.T) {
	for _, n := range []int{3, 8, 60} {
		f := newFleet(n)
		f.stopped["h1"] = true
		f.run(15 * time.Second)
		if got := f.countState("h1", bbtmember.Dead); got != n-1 {
			t.Errorf("%d hosts: got %d that believe h1 dead, want %d", n, got, n-1)
		}
		if got := len(f.stateChanges); got < n-1 || got > 2*(n-1) {
			t.Errorf("%d hosts: got state changes %v, want one or two about h1 per running host", n, f.stateChanges)
		}
	}
}

func TestManyDeadHostsAreDetectedByAllHosts(t *testing.T) {
	f := newFleet(40)
	for i := range 20 {
		f.stopped[hostID(i)] = true
	}
	f.run(40 * time.Second)
	for i := range 20 {
		if got := f.countState(hostID(i), bbtmember.Dead); got != 20 {
			t.Errorf("%s: got %d hosts that believe it dead, want 20", hostID(i), got)
		}
	}
}

func TestManyLeavingHostsKeepMessagesWithinLimit(t *testing.T) {
	f := newFleet(40)
	for i := range 20 {
		f.perform(hostID(i), f.detectors[i].Leave(f.now, bbtview.Digest{}))
	}
	f.run(time.Second)
	for i := range 20 {
		f.stopped[hostID(i)] = true
	}
	f.run(40 * time.Second)
	for i := range 20 {
		if got := f.countState(hostID(i), bbtmember.Leaving); got != 20 {
			t.Errorf("%s: got %d hosts that believe it leaving, want 20", hostID(i), got)
		}
	}
	if got, want := f.maxChanges, bbtmember.MaxChanges; got != want {
		t.Errorf("got up to %d changes in a Ping, want %d", got, want)
	}
}

func TestOneWayLinkFailureMarksNoHostDead(t *testing.T) {
	f := newFleet(8)
	f.dropped = func(from, to bbtfleet.HostID) bool { return from == "h1" && to == "h2" }
	f.run(time.Minute)
	if len(f.stateChanges) != 0 {
		t.Errorf("got state changes %v, want none, as indirect probes reach both hosts", f.stateChanges)
	}
}

func TestFrozenHostIsAliveAfterItResumes(t *testing.T) {
	f := newFleet(8)
	f.stopped["h1"] = true
	f.run(20 * time.Second)
	f.stopped["h1"] = false
	f.stateChanges = nil
	f.run(30 * time.Second)
	if got := f.countState("h1", bbtmember.Alive); got != 7 {
		t.Errorf("got %d hosts that believe h1 alive, want 7", got)
	}
	for i := range 8 {
		if got := f.countState(hostID(i), bbtmember.Dead); got != 0 {
			t.Errorf("%s: got %d hosts that believe it dead after the pause: %v", hostID(i), got, f.stateChanges)
		}
	}
}

func TestPausedHostSuspectsNoOtherHost(t *testing.T) {
	f := newFleet(8)
	detector := f.detectors[1]
	f.now = f.now.Add(bbtmember.TickInterval)
	f.stopped["h1"] = true
	detector.Tick(f.now, bbtview.Digest{})
	actions := detector.Tick(f.now.Add(10*time.Second), bbtview.Digest{})
	if len(actions) != 1 {
		t.Fatalf("got actions %v, want one Paused", actions)
	}
	if got, ok := actions[0].(bbtmember.Paused); !ok || got.Gap != 10*time.Second {
		t.Errorf("got %v, want a pause of 10 s", actions[0])
	}
}

func TestLeavingIsKnownToAllHostsWithinSeconds(t *testing.T) {
	f := newFleet(60)
	f.perform("h1", f.detectors[1].Leave(f.now, bbtview.Digest{}))
	f.run(3 * time.Second)
	if got := f.countState("h1", bbtmember.Leaving); got != 59 {
		t.Errorf("got %d hosts that believe h1 leaving, want 59", got)
	}
}

func TestNewIncarnationReplacesDeadState(t *testing.T) {
	f := newFleet(8)
	f.stopped["h1"] = true
	f.run(15 * time.Second)
	detector := bbtmember.New("h1", 2, rand.New(rand.NewPCG(2, 2)))
	var hosts []bbtfleet.Host
	for i := range 8 {
		hosts = append(hosts, bbtfleet.NewHost(hostID(i), "edin-a"))
	}
	detector.SetHosts(f.now, bbtfleet.NewHostList(1, hosts))
	f.detectors[1], f.byID["h1"] = detector, detector
	f.stopped["h1"] = false
	f.run(10 * time.Second)
	if got := f.countState("h1", bbtmember.Alive); got != 7 {
		t.Errorf("got %d hosts that believe the new process alive, want 7", got)
	}
}

func TestFirstMessageOfHostReportedDeadMarksItAlive(t *testing.T) {
	detector := bbtmember.New("h0", 1, rand.New(rand.NewPCG(1, 1)))
	hosts := []bbtfleet.Host{bbtfleet.NewHost("h0", "z"), bbtfleet.NewHost("h1", "z"), bbtfleet.NewHost("h2", "z")}
	now := time.Unix(0, 0)
	detector.SetHosts(now, bbtfleet.NewHostList(1, hosts))
	detector.Receive(now, "h2", bbtmember.Ping{Seq: 1, Incarnation: 1, Changes: []bbtmember.Change{{Host: "h1", State: bbtmember.Dead}}}, bbtview.Digest{})
	if got := detector.State("h1"); got != bbtmember.Dead {
		t.Fatalf("got state %v, want dead", got)
	}
	for _, a := range detector.Receive(now, "h1", bbtmember.Ping{Seq: 1, Incarnation: 1}, bbtview.Digest{}) {
		if c, ok := a.(bbtmember.StateChanged); ok && c.Host == "h1" && c.State == bbtmember.Alive {
			return
		}
	}
	t.Error("got no StateChanged to alive")
}

func TestMessageRateDoesNotGrowWithTheFleet(t *testing.T) {
	const seconds = 20
	for _, n := range []int{20, 60, 120} {
		f := newFleet(n)
		f.run(seconds * time.Second)
		if got, want := f.sent/n/seconds, 3; got > want {
			t.Errorf("%d hosts: got %d messages per host and second, want at most %d", n, got, want)
		}
	}
}

func TestEveryHostIsProbed(t *testing.T) {
	f := newFleet(200)
	probed := make(map[bbtfleet.HostID]int)
	for _, detector := range f.detectors {
		for _, id := range detector.Neighbours() {
			probed[id]++
		}
	}
	for i := range 200 {
		if got := probed[hostID(i)]; got < 2 {
			t.Errorf("%s: got %d hosts that probe it, want 2 or more", hostID(i), got)
		}
	}
}

func TestPingSizeIsBounded(t *testing.T) {
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

func TestPartnersAreProbedRegardlessOfState(t *testing.T) {
	f := newFleet(60)
	detector := f.detectors[0]
	partners := []bbtfleet.HostID{"h7", "h8"}
	detector.SetPartners(partners)
	f.stopped["h8"] = true
	for range 20 {
		f.run(bbtmember.PartnerInterval)
		c := detector.Contact("h7")
		if got, maxAge := f.now.Sub(c.LastAckedPing()), 2*bbtmember.PartnerInterval; got > maxAge {
			t.Fatalf("last answered probe was sent %v ago, want at most %v", got, maxAge)
		}
		if c.LastHeard().Before(c.LastAckedPing()) {
			t.Fatalf("last message at %v, before the answered probe was sent at %v", c.LastHeard(), c.LastAckedPing())
		}
	}
	if got := detector.Contact("h8").LastHeard(); f.now.Sub(got) < 20*bbtmember.PartnerInterval {
		t.Errorf("got a message from the stopped host at %v", got)
	}
	f.stopped["h8"] = false
	returnedAt := f.now
	f.run(2 * bbtmember.PartnerInterval)
	if got := detector.Contact("h7").AnsweringSince(); !got.Before(returnedAt.Add(-bbtmember.MaxAnswerGap)) {
		t.Errorf("got AnsweringSince %v for the host that never stopped, want a time well before the other host returned", got)
	}
	if got := detector.Contact("h8").AnsweringSince(); got.Before(returnedAt) {
		t.Errorf("got AnsweringSince %v, want no time before the host returned at %v", got, returnedAt)
	}
	if got, maxAge := f.now.Sub(detector.Contact("h8").LastAckedPing()), 2*bbtmember.PartnerInterval; got > maxAge {
		t.Errorf("last answered probe of the host that returned was sent %v ago, want at most %v", got, maxAge)
	}
}

func TestAckOfFormerIncarnationIsIgnored(t *testing.T) {
	detector := bbtmember.New("h0", 1, rand.New(rand.NewPCG(1, 1)))
	hosts := []bbtfleet.Host{bbtfleet.NewHost("h0", "z"), bbtfleet.NewHost("h1", "z")}
	now := time.Unix(100, 0)
	detector.SetHosts(now, bbtfleet.NewHostList(1, hosts))
	detector.SetPartners([]bbtfleet.HostID{"h1"})
	var seq uint32
	for _, a := range detector.Tick(now, bbtview.Digest{}) {
		if s, ok := a.(bbtmember.Send); ok {
			seq = s.Message.(bbtmember.Ping).Seq
		}
	}
	detector.Receive(now, "h1", bbtmember.Ping{Seq: 9, Incarnation: 3}, bbtview.Digest{})
	later := now.Add(time.Second)
	detector.Receive(later, "h1", bbtmember.Ack{Seq: seq, Incarnation: 2}, bbtview.Digest{})
	if c := detector.Contact("h1"); !c.LastAckedPing().IsZero() || !c.LastHeard().Equal(now) {
		t.Errorf("got last heard %v, last acked ping %v, want the former process's answer ignored", c.LastHeard(), c.LastAckedPing())
	}
}

func TestContactIsRecordedAfterHostLeavesTheList(t *testing.T) {
	f := newFleet(8)
	detector := f.detectors[0]
	detector.SetPartners([]bbtfleet.HostID{"h1"})
	detector.SetHosts(f.now, bbtfleet.NewHostList(2, []bbtfleet.Host{bbtfleet.NewHost("h0", "edin-a"), bbtfleet.NewHost("h2", "edin-a")}))
	removedAt := f.now
	f.run(2 * bbtmember.PartnerInterval)
	if c := detector.Contact("h1"); !c.LastHeard().After(removedAt) || !c.LastAckedPing().After(removedAt) {
		t.Errorf("got last heard %v, last acked ping %v, want both after the host left the list at %v", c.LastHeard(), c.LastAckedPing(), removedAt)
	}
}

func TestUnlistedHostIsDiscoveredAndForwarded(t *testing.T) {
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
	var discovered []bbtmember.HostDiscovered
	for _, a := range seed.Receive(now, "new", bbtmember.Ping{Seq: 1, Incarnation: 9}, bbtview.Digest{}) {
		if event, ok := a.(bbtmember.HostDiscovered); ok {
			discovered = append(discovered, event)
		}
	}
	if len(discovered) != 1 || discovered[0].Change.Host != "new" || discovered[0].Change.Incarnation != 9 || !discovered[0].Direct {
		t.Fatalf("got %+v, want host new discovered once", discovered)
	}
	seed.SetHosts(now, list("seed", "old", "new"))
	reported := false
	for _, a := range append(seed.AddDiscovered(now, discovered[0].Change), seed.Tick(now, bbtview.Digest{})...) {
		s, ok := a.(bbtmember.Send)
		if !ok {
			continue
		}
		if p, ok := s.Message.(bbtmember.Ping); ok && s.To == "old" {
			for _, c := range p.Changes {
				reported = reported || c.Host == "new" && c.Incarnation == 9
			}
		}
	}
	if !reported {
		t.Error("got no Ping to host old that reports host new")
	}
	if got := seed.Incarnation("new"); got != 9 {
		t.Errorf("got incarnation %d, want 9", got)
	}
	if got := seed.KnownStates(); len(got) != 2 {
		t.Errorf("got states %+v, want those of seed and new", got)
	}
}

func TestRemovedHostIsDiscoveredAgainOnlyWithNewIncarnation(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	detector := bbtmember.New("a", 5, rand.New(rand.NewPCG(1, 1)))
	both := bbtfleet.NewHostList(1, []bbtfleet.Host{bbtfleet.NewHost("a", "z"), bbtfleet.NewHost("b", "z")})
	detector.SetHosts(now, both)
	detector.Receive(now, "b", bbtmember.Ping{Seq: 1, Incarnation: 7}, bbtview.Digest{})
	detector.SetHosts(now, bbtfleet.NewHostList(2, both.Hosts()[:1]))
	for incarnation, want := range map[uint64]bool{7: false, 8: true} {
		got := false
		for _, a := range detector.Merge(now, []bbtmember.Change{{Host: "b", Incarnation: incarnation}}) {
			_, isDiscovered := a.(bbtmember.HostDiscovered)
			got = got || isDiscovered
		}
		if got != want {
			t.Errorf("incarnation %d: got discovered %t, want %t", incarnation, got, want)
		}
	}
}
