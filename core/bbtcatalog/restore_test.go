package bbtcatalog_test

import (
	"testing"
	"time"

	"bluebelltray/core/bbtcatalog"
)

// process returns the change that publishes a process of endpoint e.
func process(revision uint64, startMS int64, draining bool) bbtcatalog.Change {
	return bbtcatalog.Change{Revision: revision, Endpoint: &bbtcatalog.Endpoint{ID: "e", Address: "10.0.0.1:80", StartTimeMS: startMS, Draining: draining}}
}

// copyOf returns the first state of an era.
func copyOf(era, revision uint64, changes ...bbtcatalog.Change) bbtcatalog.Update {
	return bbtcatalog.Update{Era: era, Revision: revision, Full: true, Changes: changes}
}

// later returns the changes of an era up to a revision.
func later(era, revision uint64, changes ...bbtcatalog.Change) bbtcatalog.Update {
	return bbtcatalog.Update{Era: era, Revision: revision, Changes: changes}
}

// state describes the use of endpoint e.
func state(cat *bbtcatalog.Catalog, now time.Time) string {
	list := cat.Endpoints(now)
	switch {
	case len(list) == 0:
		return "unused"
	case list[0].Endpoint.Draining:
		return "draining"
	default:
		return "used"
	}
}

// Guards against changes of an older copy's successors that are taken for older ones,
// since their revisions are lower than known ones.
func TestLowerRevisionsOfALaterEraAreNews(t *testing.T) {
	var cat bbtcatalog.Catalog
	cat.Apply(start, copyOf(1, 21, config(20, 13), endpoint(5, "a"), endpoint(21, "b")))
	cat.Apply(start, copyOf(2, 19, config(19, 10), endpoint(5, "a"), endpoint(6, "b")))
	cat.Apply(start.Add(time.Minute), later(2, 21, removal(20, "b"), config(21, 16), endpoint(21, "c")))
	if got := ids(&cat, start.Add(2*time.Minute)); got != "ac" || cat.Index().Version() != 16 {
		t.Errorf("got endpoints %q and version %d, want ac and 16", got, cat.Index().Version())
	}
	if got, want := cat.Position(), (bbtcatalog.Position{Era: 2, Revision: 21}); got != want {
		t.Errorf("got position %+v, want %+v", got, want)
	}
}

// Guards against a watch that the platform answers in an era whose first state the host
// does not know, and against peers that are behind.
func TestChangesOfAnotherEraAreIgnored(t *testing.T) {
	var cat bbtcatalog.Catalog
	cat.Apply(start, copyOf(2, 21, config(21, 13), endpoint(5, "a")))
	for _, u := range []bbtcatalog.Update{later(3, 30, endpoint(30, "b")), later(1, 40, endpoint(40, "c")), copyOf(1, 50, endpoint(50, "d"))} {
		cat.Apply(start, u)
		if got := ids(&cat, start); got != "a" || cat.Position() != (bbtcatalog.Position{Era: 2, Revision: 21}) {
			t.Errorf("got endpoints %q at %+v after an update of era %d, want a at era 2, revision 21", got, cat.Position(), u.Era)
		}
	}
}

// Guards against a confirmed configuration that an older copy takes back, on this host or on
// one that read the copy first.
func TestConfigurationOutlivesAnOlderCopy(t *testing.T) {
	var cat, peer bbtcatalog.Catalog
	cat.Apply(start, copyOf(1, 21, config(21, 13)))
	cat.Apply(start, copyOf(2, 21, config(19, 10)))
	if got := cat.Index().Version(); got != 13 {
		t.Errorf("got version %d, want 13", got)
	}
	peer.Apply(start, copyOf(2, 21, config(19, 10)))
	peer.Apply(start, cat.UpdateSince(peer.Position(), peer.Index().Version()))
	if got := peer.Index().Version(); got != 13 {
		t.Errorf("got version %d at a peer of the same position, want 13", got)
	}
	var lagging bbtcatalog.Catalog
	lagging.Apply(start, copyOf(1, 30, config(30, 15)))
	cat.Apply(start, lagging.UpdateSince(cat.Position(), cat.Index().Version()))
	if got := cat.Index().Version(); got != 15 || cat.Position().Era != 2 {
		t.Errorf("got version %d at %+v after a peer of an earlier era, want 15 in era 2", got, cat.Position())
	}
}

// Guards against endpoints that vanish since an older copy lacks them.
func TestEndpointMissingInACopyHasTimeToRegisterAgain(t *testing.T) {
	for _, again := range []bool{true, false} {
		var cat bbtcatalog.Catalog
		cat.Apply(start, copyOf(1, 9, process(9, 1, false)))
		cat.Apply(start, copyOf(2, 5))
		if got := state(&cat, start.Add(time.Second)); got != "used" {
			t.Errorf("got %s a second after the copy, want used", got)
		}
		want := "unused"
		if again {
			cat.Apply(start.Add(time.Second), later(2, 6, process(6, 1, false)))
			want = "used"
		}
		if got := state(&cat, start.Add(bbtcatalog.OutageRecoveryTime)); got != want {
			t.Errorf("registered again %t: got %s after the recovery time, want %s", again, got, want)
		}
	}
}

// Guards against requests to an endpoint whose drain, removal or restart an older copy
// does not know.
func TestOlderCopyTakesBackNeitherDrainNorRemoval(t *testing.T) {
	const heartbeat, expiry = 1200 * time.Millisecond, 4 * 1200 * time.Millisecond
	gone := process(8, 2, false)
	gone.Removed = true
	for name, c := range map[string]struct {
		known, listed bbtcatalog.Change
		want, later   string // use at once and after the time in which entries expire
	}{
		"drains":                   {process(8, 2, true), process(4, 2, false), "draining", "draining"},
		"drained, restarted since": {process(8, 2, true), process(4, 3, false), "used", "used"},
		"gone":                     {gone, process(4, 2, false), "unused", "used"},
		"gone, restarted since":    {gone, process(4, 3, false), "used", "used"},
		"gone, former process":     {gone, process(4, 1, false), "unused", "unused"},
		"runs, former process":     {process(8, 2, false), process(4, 1, true), "used", "used"},
		"runs":                     {process(8, 2, false), process(4, 2, true), "draining", "draining"},
	} {
		cat := bbtcatalog.NewCatalog(bbtcatalog.Bounds{Heartbeat: heartbeat})
		cat.Apply(start, copyOf(1, 7, process(7, 2, false)))
		cat.Apply(start, later(1, 8, c.known))
		cat.Apply(start, copyOf(2, 5, c.listed))
		if got := state(cat, start.Add(3*heartbeat)); got != c.want {
			t.Errorf("%s: got %s, want %s", name, got, c.want)
		}
		if got := state(cat, start.Add(expiry)); got != c.later {
			t.Errorf("%s: got %s after the entry would have expired, want %s", name, got, c.later)
		}
	}
}

// Guards against a process that was seen to drain and is used again after two copies, the
// first of which names a former process.
func TestDrainOutlivesACopyWithAFormerProcess(t *testing.T) {
	gone := process(6, 2, true)
	gone.Removed = true
	var cat bbtcatalog.Catalog
	cat.Apply(start, later(0, 6, process(5, 2, true), gone))
	cat.Apply(start, copyOf(1, 2, process(2, 1, false)))
	cat.Apply(start, copyOf(2, 4, process(4, 2, false)))
	for _, after := range []time.Duration{0, time.Minute} {
		if got := state(&cat, start.Add(after)); got == "used" {
			t.Errorf("got the process used %v after the second copy, want it unused or draining", after)
		}
	}
}

// Guards against an endpoint that is held back although it has registered again, and
// against one that comes back since its entry in the copy expires.
func TestHeldBackEndpointFollowsNewEntries(t *testing.T) {
	for _, c := range []struct {
		news bbtcatalog.Change
		want string
	}{{process(6, 2, false), "used"}, {removal(6, "e"), "unused"}} {
		var cat bbtcatalog.Catalog
		cat.Apply(start, later(0, 8, process(7, 2, false), removal(8, "e")))
		cat.Apply(start, copyOf(1, 5, process(4, 2, false)))
		cat.Apply(start, later(1, 6, c.news))
		for _, after := range []time.Duration{0, time.Second, time.Minute} {
			if got := state(&cat, start.Add(after)); got != c.want {
				t.Errorf("removed %t: got %s after %v, want %s", c.news.Removed, got, after, c.want)
			}
		}
	}
}

// Guards against a zone that is back in service since an older copy does not know
// that operators have taken it out.
func TestZoneMissingInACopyStaysOutOfService(t *testing.T) {
	zone := "a"
	out := func(revision uint64, removed bool) bbtcatalog.Change {
		return bbtcatalog.Change{Revision: revision, Zone: &zone, Removed: removed}
	}
	for name, c := range map[string]struct {
		news                []bbtcatalog.Change
		atOnce, later, ever bool // out of service now, in two seconds, in a minute
	}{
		"no news":         {nil, true, true, false},
		"published again": {[]bbtcatalog.Change{out(6, false)}, true, true, true},
		"taken back":      {[]bbtcatalog.Change{out(6, false), out(7, true)}, false, false, false},
	} {
		var cat, peer bbtcatalog.Catalog
		cat.Apply(start, copyOf(1, 8, out(8, false)))
		peer.Apply(start, copyOf(1, 8, out(8, false)))
		cat.Apply(start, copyOf(2, 5))
		peer.Apply(start, cat.UpdateSince(peer.Position(), 0))
		for _, u := range []*bbtcatalog.Catalog{&cat, &peer} {
			u.Apply(start, later(2, 7, c.news...))
			for after, want := range map[time.Duration]bool{0: c.atOnce, 2 * time.Second: c.later, time.Minute: c.ever} {
				if got := u.ZoneOutOfService(start.Add(after), zone); got != want {
					t.Errorf("%s: got out of service %t after %v, want %t", name, got, after, want)
				}
			}
		}
	}
}
