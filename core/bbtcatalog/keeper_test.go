package bbtcatalog_test

import (
	"testing"
	"time"

	"bluebelltray/core/bbtcatalog"
)

// start is the initial time of the tests.
var start = time.Unix(1_000_000, 0)

// endpoint returns the change that publishes an endpoint.
func endpoint(revision uint64, id string) bbtcatalog.Change {
	return bbtcatalog.Change{Revision: revision, Endpoint: &bbtcatalog.Endpoint{ID: id, Service: "plain", Zone: "a"}}
}

// removal returns the change that removes an endpoint.
func removal(revision uint64, id string) bbtcatalog.Change {
	return bbtcatalog.Change{Revision: revision, Endpoint: &bbtcatalog.Endpoint{ID: id}, Removed: true}
}

// config returns the change that publishes a configuration.
func config(revision uint64, version int64) bbtcatalog.Change {
	return bbtcatalog.Change{Revision: revision, Config: &bbtcatalog.Config{Version: version}}
}

// update returns an update with the revision of its last change.
func update(changes ...bbtcatalog.Change) bbtcatalog.Update {
	return bbtcatalog.Update{Revision: changes[len(changes)-1].Revision, Changes: changes}
}

// ids returns the concatenated IDs of the published endpoints.
func ids(cat *bbtcatalog.Catalog, now time.Time) string {
	out := ""
	for _, l := range cat.Endpoints(now) {
		out += l.Endpoint.ID
	}
	return out
}

func TestConfigurationNeverReverts(t *testing.T) {
	var cat bbtcatalog.Catalog
	cat.Apply(start, update(config(5, 7)))
	for _, c := range []bbtcatalog.Change{config(6, 6), config(3, 3), config(9, 7)} {
		if cat.Apply(start, update(c)) {
			t.Errorf("got version %d applied after 7", c.Config.Version)
		}
	}
	cat.Apply(start, update(config(10, 9)))
	if got := cat.Index().Version(); got != 9 {
		t.Errorf("got version %d, want 9", got)
	}
}

func TestOlderChangeDoesNotReplaceNewerOne(t *testing.T) {
	var cat bbtcatalog.Catalog
	cat.Apply(start, update(endpoint(4, "a"), removal(6, "a")))
	cat.Apply(start, bbtcatalog.Update{Revision: 5, Changes: []bbtcatalog.Change{endpoint(5, "a")}})
	if got := ids(&cat, start); got != "" {
		t.Errorf("got endpoints %q, want none", got)
	}
	if got := cat.Position().Revision; got != 6 {
		t.Errorf("got revision %d, want 6", got)
	}
}

func TestEndpointExpiredInOutageHasTimeToRegisterAgain(t *testing.T) {
	var cat bbtcatalog.Catalog
	cat.Apply(start, update(endpoint(1, "a"), endpoint(2, "b")))
	cat.OutageEnded(start)
	cat.Apply(start, update(removal(3, "a"), removal(4, "b")))
	if got := ids(&cat, start.Add(time.Second)); got != "ab" {
		t.Errorf("got endpoints %q a second after the outage, want both", got)
	}
	cat.Apply(start.Add(time.Second), update(endpoint(5, "b")))
	if got := ids(&cat, start.Add(bbtcatalog.OutageRecoveryTime)); got != "b" {
		t.Errorf("got endpoints %q after the recovery time, want b", got)
	}
}

// An endpoint may also be removed for good right after a platform outage.
func TestEndpointRemovedAfterOutageIsDroppedWithinDrainTimeout(t *testing.T) {
	const drain = 2 * time.Second
	cat := bbtcatalog.NewCatalog(bbtcatalog.Bounds{Drain: drain})
	cat.Apply(start, update(endpoint(1, "a")))
	cat.OutageEnded(start)
	removed := start.Add(100 * time.Millisecond)
	cat.Apply(removed, update(removal(2, "a")))
	if got := ids(cat, removed.Add(drain-400*time.Millisecond)); got != "" {
		t.Errorf("got endpoints %q shortly before the drain timeout, want none", got)
	}
	if got := ids(cat, removed.Add(time.Second)); got != "a" {
		t.Errorf("got endpoints %q a second after its removal, want it kept for the recovery time", got)
	}
}

func TestRemovalOutsideOutageTakesEffectAtOnce(t *testing.T) {
	var cat bbtcatalog.Catalog
	cat.OutageEnded(start)
	now := start.Add(bbtcatalog.OutageRecoveryTime)
	cat.Apply(now, update(endpoint(1, "a"), removal(2, "a")))
	if got := ids(&cat, now); got != "" {
		t.Errorf("got endpoints %q, want none", got)
	}
}

func TestFullUpdateRemovesUnlistedItems(t *testing.T) {
	var cat bbtcatalog.Catalog
	zone := "a"
	cat.Apply(start, update(endpoint(1, "a"), endpoint(2, "b"), bbtcatalog.Change{Revision: 3, Zone: &zone}))
	if !cat.ZoneOutOfService(start, "a") {
		t.Fatal("got zone a in service, want it out of service")
	}
	cat.Apply(start, bbtcatalog.Update{Revision: 9, Full: true, Changes: []bbtcatalog.Change{endpoint(2, "b")}})
	if got := ids(&cat, start); got != "b" || cat.ZoneOutOfService(start, "a") {
		t.Errorf("got endpoints %q, zone out of service %t; want only b and the zone in service", got, cat.ZoneOutOfService(start, "a"))
	}
}

func TestPeerCatchesUp(t *testing.T) {
	var cat, peer bbtcatalog.Catalog
	cat.Apply(start, update(config(1, 1), endpoint(2, "a"), endpoint(3, "b")))
	peer.Apply(start, cat.UpdateSince(bbtcatalog.Position{}, 0))
	if got := ids(&peer, start); got != "ab" || peer.Index().Version() != 1 {
		t.Fatalf("got endpoints %q and version %d, want ab and 1", got, peer.Index().Version())
	}
	cat.Apply(start, update(removal(4, "a"), config(5, 2)))
	delta := cat.UpdateSince(peer.Position(), peer.Index().Version())
	if len(delta.Changes) != 2 {
		t.Errorf("got %d changes, want the 2 that the peer is missing", len(delta.Changes))
	}
	peer.Apply(start, delta)
	if got := ids(&peer, start); got != "b" || peer.Index().Version() != 2 || peer.Position().Revision != 5 {
		t.Errorf("got endpoints %q, version %d, revision %d; want b, 2, 5", got, peer.Index().Version(), peer.Position().Revision)
	}
}

// Guards against a host that keeps using what was removed, since the peer that it asks
// has begun after the removal and so does not know of it.
func TestPeerIsToldOfRemovalsBeforeTheLoad(t *testing.T) {
	var lagging, cat bbtcatalog.Catalog
	lagging.Apply(start, update(config(1, 1), endpoint(2, "a"), endpoint(3, "b")))
	cat.Apply(start, bbtcatalog.Update{Revision: 4, Full: true, Changes: []bbtcatalog.Change{config(1, 1), endpoint(2, "a")}})
	lagging.Apply(start, cat.UpdateSince(lagging.Position(), 1))
	if got := ids(&lagging, start); got != "a" {
		t.Errorf("got endpoints %q, want a", got)
	}
}

// Guards against a host that keeps using what was removed, since the peer's full state
// names an earlier removal of it.
func TestFullUpdateWithAnEarlierRemovalRemovesTheItem(t *testing.T) {
	var lagging bbtcatalog.Catalog
	lagging.Apply(start, update(config(1, 1), endpoint(4, "a")))
	lagging.Apply(start, bbtcatalog.Update{Revision: 5, Full: true, Changes: []bbtcatalog.Change{config(1, 1), removal(3, "a")}})
	if got := ids(&lagging, start); got != "" {
		t.Errorf("got endpoints %q, want none", got)
	}
}

func TestRouteHasLongestMatchingPrefix(t *testing.T) {
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

func TestRoutePicksServiceByWeight(t *testing.T) {
	r := bbtcatalog.Route{Targets: []bbtcatalog.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	for point, want := range map[float64]string{0: "a", 0.89: "a", 0.91: "b", 0.9999: "b"} {
		if got := r.PickService(point); got != want {
			t.Errorf("%v: got %q, want %q", point, got, want)
		}
	}
	if r.AllowsService("c") || !r.AllowsService("b") {
		t.Error("got a service with weight 0 allowed or one with a positive weight not allowed")
	}
}
