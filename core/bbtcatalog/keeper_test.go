package bbtcatalog_test

import (
	"testing"
	"time"

	"bluebelltray/core/bbtcatalog"
)

// start is when the tests' time begins.
var start = time.Unix(1_000_000, 0)

// endpoint returns the change that publishes an endpoint.
func endpoint(rev uint64, id string) bbtcatalog.Change {
	return bbtcatalog.Change{Revision: rev, Endpoint: &bbtcatalog.Endpoint{ID: id, Service: "plain", Zone: "a"}}
}

// gone returns the change that removes an endpoint.
func gone(rev uint64, id string) bbtcatalog.Change {
	return bbtcatalog.Change{Revision: rev, Endpoint: &bbtcatalog.Endpoint{ID: id}, Removed: true}
}

// config returns the change that publishes a configuration.
func config(rev uint64, version int64) bbtcatalog.Change {
	return bbtcatalog.Change{Revision: rev, Config: &bbtcatalog.Config{Version: version}}
}

// update returns an update that is known up to its last change.
func update(changes ...bbtcatalog.Change) bbtcatalog.Update {
	return bbtcatalog.Update{Revision: changes[len(changes)-1].Revision, Changes: changes}
}

// ids returns the names of the endpoints in force.
func ids(k *bbtcatalog.Catalog, now time.Time) string {
	out := ""
	for _, l := range k.Endpoints(now) {
		out += l.Endpoint.ID
	}
	return out
}

func TestConfigurationNeverReverts(t *testing.T) {
	var k bbtcatalog.Catalog
	k.Apply(start, update(config(5, 7)))
	for _, c := range []bbtcatalog.Change{config(6, 6), config(3, 3), config(9, 7)} {
		if k.Apply(start, update(c)) {
			t.Errorf("got version %d taken after 7", c.Config.Version)
		}
	}
	k.Apply(start, update(config(10, 9)))
	if got := k.Index().Version(); got != 9 {
		t.Errorf("got version %d, want 9", got)
	}
}

func TestOldChangeDoesNotReplaceANewOne(t *testing.T) {
	var k bbtcatalog.Catalog
	k.Apply(start, update(endpoint(4, "a"), gone(6, "a")))
	k.Apply(start, bbtcatalog.Update{Revision: 5, Changes: []bbtcatalog.Change{endpoint(5, "a")}})
	if got := ids(&k, start); got != "" {
		t.Errorf("got endpoints %q, want none", got)
	}
	if got := k.Revision(); got != 6 {
		t.Errorf("got revision %d, want 6", got)
	}
}

func TestEntryThatLapsedInAnOutageHasTimeToReturn(t *testing.T) {
	var k bbtcatalog.Catalog
	k.Apply(start, update(endpoint(1, "a"), endpoint(2, "b")))
	k.OutageEnded(start)
	k.Apply(start, update(gone(3, "a"), gone(4, "b")))
	if got := ids(&k, start.Add(time.Second)); got != "ab" {
		t.Errorf("got endpoints %q a second after the outage, want both", got)
	}
	k.Apply(start.Add(time.Second), update(endpoint(5, "b")))
	if got := ids(&k, start.Add(bbtcatalog.OutageRecoveryTime)); got != "b" {
		t.Errorf("got endpoints %q when the time to return is over, want b", got)
	}
}

// A server may also leave for good when the platform is just back.
func TestEntryRemovedAfterAnOutageKeepsTheDrainBound(t *testing.T) {
	const drain = 2 * time.Second
	k := bbtcatalog.NewCatalog(drain)
	k.Apply(start, update(endpoint(1, "a")))
	k.OutageEnded(start)
	removed := start.Add(100 * time.Millisecond)
	k.Apply(removed, update(gone(2, "a")))
	if got := ids(k, removed.Add(drain-400*time.Millisecond)); got != "" {
		t.Errorf("got endpoints %q shortly before the bound, want none", got)
	}
	if got := ids(k, removed.Add(time.Second)); got != "a" {
		t.Errorf("got endpoints %q a second after its removal, want it to have time to return", got)
	}
}

func TestRemovalOutsideAnOutageCountsAtOnce(t *testing.T) {
	var k bbtcatalog.Catalog
	k.OutageEnded(start)
	now := start.Add(bbtcatalog.OutageRecoveryTime)
	k.Apply(now, update(endpoint(1, "a"), gone(2, "a")))
	if got := ids(&k, now); got != "" {
		t.Errorf("got endpoints %q, want none", got)
	}
}

func TestWholeUpdateRemovesWhatItLacks(t *testing.T) {
	var k bbtcatalog.Catalog
	zone := "a"
	k.Apply(start, update(endpoint(1, "a"), endpoint(2, "b"), bbtcatalog.Change{Revision: 3, Zone: &zone}))
	if !k.ZoneOutOfService("a") {
		t.Fatal("got zone a in service, want it out")
	}
	k.Apply(start, bbtcatalog.Update{Revision: 9, Full: true, Changes: []bbtcatalog.Change{endpoint(2, "b")}})
	if got := ids(&k, start); got != "b" || k.ZoneOutOfService("a") {
		t.Errorf("got endpoints %q, zone out %t; want b alone and the zone back", got, k.ZoneOutOfService("a"))
	}
}

func TestPeerCatchesUp(t *testing.T) {
	var k, peer bbtcatalog.Catalog
	k.Apply(start, update(config(1, 1), endpoint(2, "a"), endpoint(3, "b")))
	peer.Apply(start, k.UpdateSince(0))
	if got := ids(&peer, start); got != "ab" || peer.Index().Version() != 1 {
		t.Fatalf("got endpoints %q and version %d, want all", got, peer.Index().Version())
	}
	k.Apply(start, update(gone(4, "a"), config(5, 2)))
	delta := k.UpdateSince(peer.Revision())
	if len(delta.Changes) != 2 {
		t.Errorf("got %d changes, want the 2 that the peer lacks", len(delta.Changes))
	}
	peer.Apply(start, delta)
	if got := ids(&peer, start); got != "b" || peer.Index().Version() != 2 || peer.Revision() != 5 {
		t.Errorf("got endpoints %q, version %d, revision %d; want b, 2, 5", got, peer.Index().Version(), peer.Revision())
	}
}

func TestLongestPrefixIsTheRoute(t *testing.T) {
	ix := bbtcatalog.NewIndex(&bbtcatalog.Config{Routes: []bbtcatalog.Route{
		{Name: "short", Domain: "h", Prefix: "/a/"},
		{Name: "long", Domain: "h", Prefix: "/a/b/"},
		{Name: "elsewhere", Domain: "i", Prefix: "/a/b/c/"},
	}})
	for path, want := range map[string]string{"/a/x": "short", "/a/b/c/": "long", "/a/b": "short", "/b/": ""} {
		got := ""
		if r := ix.Route("h", path); r != nil {
			got = r.Name
		}
		if got != want {
			t.Errorf("%s: got route %q, want %q", path, got, want)
		}
	}
}

func TestRoutePicksByWeight(t *testing.T) {
	r := bbtcatalog.Route{Targets: []bbtcatalog.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	for point, want := range map[float64]string{0: "a", 0.89: "a", 0.91: "b", 0.9999: "b"} {
		if got := r.PickService(point); got != want {
			t.Errorf("%v: got %q, want %q", point, got, want)
		}
	}
	if r.AllowsService("c") || !r.AllowsService("b") {
		t.Error("got a service without weight allowed or one with weight not")
	}
}
