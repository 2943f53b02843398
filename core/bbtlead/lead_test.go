package bbtlead

import (
	"math"
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
)

var start = time.Unix(1_700_000_000, 0)

// at returns a time after the start.
func at(d time.Duration) time.Time { return start.Add(d) }

// hosts returns hosts by name, the oldest first.
func hosts(ids ...bbtfleet.HostID) []Host {
	var out []Host
	for i, id := range ids {
		out = append(out, Host{ID: id, Incarnation: uint64(16 * (i + 1))})
	}
	return out
}

// newLead returns the view of host b among a, b and c, which have met.
func newLead() *Election {
	all := hosts("a", "b", "c")
	l := New(all[1])
	l.SetLivePeers(start, []Host{all[0], all[2]})
	l.Elect(start, false)
	return l
}

func TestOldestHostOwns(t *testing.T) {
	for _, c := range []struct {
		name    string
		up      []Host
		leaving bool
		want    bbtfleet.HostID
	}{
		{"alone", nil, false, "b"},
		{"older one up", hosts("a", "x", "c"), false, "a"},
		{"younger ones up", []Host{{"c", 48}, {"d", 64}}, false, "b"},
		{"same age", []Host{{"a", 32}}, false, "a"},
		{"leaving, younger one up", []Host{{"c", 48}}, true, "c"},
		{"leaving, alone", nil, true, "b"},
		{"stronger one up, younger", []Host{{"c", 48 | 2}}, false, "c"},
		{"weaker one up, older", []Host{{"a", 16}, {"c", 48 | 1}, {"d", 64 | 1}}, false, "c"},
	} {
		l := New(Host{"b", 32})
		l.SetLivePeers(start, c.up)
		if changed := l.Elect(start, c.leaving); !changed || l.Owner().ID != c.want {
			t.Errorf("%s: got owner %s, changed %t, want %s", c.name, l.Owner().ID, changed, c.want)
		}
		if l.Elect(start, c.leaving) {
			t.Errorf("%s: got another owner the second time", c.name)
		}
	}
}

func TestSilentOwnerIsPassedOverForAWhile(t *testing.T) {
	l := newLead()
	l.MarkUnresponsive(start, "a")
	for _, c := range []struct {
		after time.Duration
		want  bbtfleet.HostID
	}{{0, "b"}, {avoidTime - 1, "b"}, {avoidTime, "a"}} {
		l.Elect(at(c.after), false)
		if got := l.Owner().ID; got != c.want {
			t.Errorf("%v after its silence: got owner %s, want %s", c.after, got, c.want)
		}
	}
}

func TestNewProcessOfTheOwnerIsAnotherOne(t *testing.T) {
	l := newLead()
	l.SetLivePeers(start, []Host{{"a", 32}})
	if l.Elect(start, false) {
		t.Error("got another owner, want the same host")
	}
	if got := l.Owner().Incarnation; got != 32 {
		t.Errorf("got incarnation %d, want that of the new process, 32", got)
	}
}

func TestShareFollowsThoseThatFollow(t *testing.T) {
	const tolerance = 0.25
	third := 1.0 / 3
	for _, c := range []struct {
		name      string
		prepare   func(*Election)
		after     time.Duration
		want      float64
		following int
	}{
		{"follows another", func(*Election) {}, 0, third, 1},
		{"follows another, is asked by one", func(l *Election) { l.RecordFollower(start, "c") }, 0, third, 1},
		{"owner just now, the other silent", takeOver, 0, 2*third + tolerance*limitsBeyond, 2},
		{"owner for long, nobody follows", takeOver, followGrace + 1, third, 1},
		{"owner for long, one follows", func(l *Election) {
			takeOver(l)
			l.RecordFollower(at(followGrace), "c")
		}, followGrace + followedFor, 2*third + tolerance*limitsBeyond, 2},
	} {
		l := newLead()
		c.prepare(l)
		got := l.Share(at(c.after), tolerance)
		if math.Abs(got.Limits-c.want) > 1e-9 || got.Followers != c.following || got.KnownHosts != 3 {
			t.Errorf("%s: got %+v, want %.3f of the limits, %d of 3 following", c.name, got, c.want, c.following)
		}
	}
}

// takeOver makes b the owner, since a is silent.
func takeOver(l *Election) {
	l.MarkUnresponsive(start, "a")
	l.Elect(start, false)
}

func TestHostThatKnowsNobodyUsesLittle(t *testing.T) {
	l := New(Host{"b", 32})
	l.Elect(start, false)
	if got := l.Share(start, 0.25).Limits; got != aloneShare {
		t.Errorf("got %v of the limits, want %v", got, aloneShare)
	}
}

func TestLostHostCountsUntilItCannotServe(t *testing.T) {
	l := newLead()
	l.SetLivePeers(at(mayRunFor), nil)
	if got := l.Share(at(mayRunFor), 0.25).KnownHosts; got != 3 {
		t.Errorf("got %d known, want 3", got)
	}
	l.SetLivePeers(at(mayRunFor+1), nil)
	if got := l.Share(at(mayRunFor+1), 0.25).KnownHosts; got != 1 {
		t.Errorf("got %d known, want this host alone", got)
	}
}

func TestFewHostsOfALargeFleetRead(t *testing.T) {
	const others, apply = 40, 2 * time.Second
	var older []Host
	for i := range others {
		older = append(older, Host{bbtfleet.HostID(rune('A' + i)), uint64(16 * (i + 1))})
	}
	for _, c := range []struct {
		name   string
		up     int
		others int
		age    time.Duration
		want   bool
	}{
		{"small fleet", 0, 7, 0, true},
		{"among the oldest", PlatformReaders - 1, others, 0, true},
		{"not among them", PlatformReaders, others, 0, false},
		{"nobody's view is fresh", PlatformReaders, others, apply, true},
	} {
		l := New(Host{"z", 1000})
		l.SetLivePeers(start, older[:c.up])
		if got := l.ReadsPlatform(c.others, c.age, apply); got != c.want {
			t.Errorf("%s: got reads %t, want %t", c.name, got, c.want)
		}
	}
}

func TestIncarnationCarriesStrength(t *testing.T) {
	var last uint64
	for _, cores := range []float64{0, 0.192, 0.4, 0.8, 2, 64, 1e9} {
		got := NewIncarnation(start, cores)
		if got&strengthMask < last || got&^strengthMask != uint64(start.UnixMicro())&^strengthMask {
			t.Errorf("%v cores: got %x, want the start and at least class %d", cores, got, last)
		}
		last = got & strengthMask
	}
	if a, b := NewIncarnation(start, 64), NewIncarnation(at(time.Millisecond), 0.1); a >= b {
		t.Errorf("got %x after %x, want the later process to have the larger number", b, a)
	}
	if a, b := strength(0.4), strength(0.8); a == b {
		t.Errorf("got class %d for 0.4 and for 0.8 cores, want different ones", a)
	}
}
