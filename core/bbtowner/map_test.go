package bbtowner_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtowner"
	"pgregory.net/rapid"
)

const (
	fleetHosts     = 56
	fleetEndpoints = 600
	fleetAccounts  = 2000
	fleetZones     = 7
)

// hosts returns n hosts spread over the zones, without those for which skip
// returns true.
func hosts(n int, skip func(i int) bool) []bbtfleet.Host {
	var out []bbtfleet.Host
	for i := range n {
		if skip(i) {
			continue
		}
		id := fmt.Sprintf("host-%03d", i)
		zone := bbtfleet.ZoneID(fmt.Sprintf("zone-%d", i%fleetZones))
		out = append(out, bbtfleet.NewHost(bbtfleet.HostID(id), zone, bbtfleet.WithCallerAddr(id)))
	}
	return out
}

// fleetPlacement returns the placement on the hosts that hosts(n, skip) returns,
// with the zone outOfService taken out of service.
func fleetPlacement(n int, outOfService bbtfleet.ZoneID, skip func(i int) bool) *bbtowner.Placement {
	var zones []bbtfleet.Zone
	var eps []bbtfleet.Endpoint
	for i := range fleetZones {
		id := bbtfleet.ZoneID(fmt.Sprintf("zone-%d", i))
		zones = append(zones, bbtfleet.NewZone(id, "region", id == outOfService))
	}
	for i := range fleetEndpoints {
		eps = append(eps, bbtfleet.NewEndpoint(bbtfleet.EndpointID(fmt.Sprintf("llm-%03d", i)), zones[i%fleetZones].ID(),
			bbtfleet.ModelEngine, "summary"))
	}
	cfg := bbtfleet.NewConfiguration(bbtfleet.NewVersion(1, 1), bbtfleet.WithZones(zones...), bbtfleet.WithEndpoints(eps...))
	return bbtowner.NewPlacement(cfg, bbtfleet.NewHostList(1, hosts(n, skip)))
}

// skipNone keeps every host.
func skipNone(int) bool { return false }

func TestOnlyTheRemovedHostsEndpointsMove(t *testing.T) {
	const removed = 17
	before := fleetPlacement(fleetHosts, "", skipNone)
	after := fleetPlacement(fleetHosts, "", func(i int) bool { return i == removed })
	for i := range fleetEndpoints {
		id := bbtfleet.EndpointID(fmt.Sprintf("llm-%03d", i))
		prev, _ := before.Owner(id)
		curr, _ := after.Owner(id)
		if prev == "host-017" {
			if want := before.Successors(id)[0]; curr != want {
				t.Errorf("%s: got owner %s, want the first successor %s", id, curr, want)
			}
		} else if curr != prev {
			t.Errorf("%s moved from %s to %s", id, prev, curr)
		}
	}
}

func TestRanksAreInTheEndpointsZone(t *testing.T) {
	m := fleetPlacement(fleetHosts, "", skipNone)
	zone := make(map[bbtfleet.HostID]bbtfleet.ZoneID)
	for _, h := range hosts(fleetHosts, skipNone) {
		zone[h.ID()] = h.Zone()
	}
	owners := make(map[bbtfleet.HostID]int)
	for _, ep := range m.Configuration().Endpoints() {
		r := m.Ranks(ep.ID())
		if len(r) != bbtowner.MaxRanks {
			t.Fatalf("got %d ranks, want %d", len(r), bbtowner.MaxRanks)
		}
		owners[r[0]]++
		for _, id := range r {
			if zone[id] != ep.Zone() {
				t.Errorf("%s of %s: got rank %s of %s", ep.ID(), ep.Zone(), id, zone[id])
			}
		}
	}
	if got := len(owners); got != fleetHosts {
		t.Errorf("got %d hosts that own an endpoint, want all %d", got, fleetHosts)
	}
}

func TestRanksAreInTheEndpointsRegion(t *testing.T) {
	var eps []bbtfleet.Endpoint
	for i := range 20 {
		id := bbtfleet.EndpointID(fmt.Sprintf("llm-%d", i))
		eps = append(eps, bbtfleet.NewEndpoint(id, "zone-0", bbtfleet.ModelEngine, "summary"))
	}
	cfg := bbtfleet.NewConfiguration(bbtfleet.NewVersion(1, 1), bbtfleet.WithEndpoints(eps...),
		bbtfleet.WithZones(
			bbtfleet.NewZone("zone-0", "north", false), bbtfleet.NewZone("zone-1", "north", false),
			bbtfleet.NewZone("zone-2", "south", false), bbtfleet.NewZone("zone-3", "south", false)))
	var list []bbtfleet.Host
	zone := make(map[bbtfleet.HostID]bbtfleet.ZoneID)
	for i := range 8 {
		h := bbtfleet.NewHost(bbtfleet.HostID(fmt.Sprintf("host-%d", i)), bbtfleet.ZoneID(fmt.Sprintf("zone-%d", i%4)))
		list = append(list, h)
		zone[h.ID()] = h.Zone()
	}
	m := bbtowner.NewPlacement(cfg, bbtfleet.NewHostList(1, list))
	for _, ep := range eps {
		for _, id := range m.Ranks(ep.ID()) {
			if zone[id] != "zone-0" && zone[id] != "zone-1" {
				t.Errorf("%s: got rank %s of %s, want one of the region", ep.ID(), id, zone[id])
			}
		}
	}
	few := bbtowner.NewPlacement(cfg, bbtfleet.NewHostList(2, list[1:4]))
	if got := len(few.Ranks("llm-0")); got != bbtowner.MaxRanks {
		t.Errorf("got %d ranks, want %d from the other region too", got, bbtowner.MaxRanks)
	}
}

func TestAddresses(t *testing.T) {
	before := fleetPlacement(fleetHosts, "", skipNone)
	after := fleetPlacement(fleetHosts, "zone-3", skipNone)
	load := make(map[string]int)
	for i := range fleetAccounts {
		id := bbtfleet.AccountID(fmt.Sprintf("account-%05d", i))
		prev, curr := before.Addresses(id), after.Addresses(id)
		if len(curr) == 0 {
			t.Fatalf("%s: got no address", id)
		}
		for _, addr := range curr {
			load[addr]++
		}
		for _, addr := range prev {
			if !inZone(addr, 3) && !slices.Contains(curr, addr) {
				t.Errorf("%s: %s was removed from the addresses", id, addr)
			}
		}
	}
	mean := 0
	for addr, n := range load {
		mean += n
		if inZone(addr, 3) {
			t.Errorf("got %d accounts with address %s, which is in a zone out of service", n, addr)
		}
	}
	mean /= len(load)
	for addr, n := range load {
		if n > 2*mean || n < mean/2 {
			t.Errorf("%s: got %d accounts, want near the mean %d", addr, n, mean)
		}
	}
}

// inZone reports whether the host of the address is in the zone.
func inZone(addr string, zone int) bool {
	var i int
	if _, err := fmt.Sscanf(addr, "host-%d", &i); err != nil {
		panic(err)
	}
	return i%fleetZones == zone
}

func TestHomesMoveOnlyWhenTheirHostIsRemoved(t *testing.T) {
	before := fleetPlacement(fleetHosts, "", skipNone)
	after := fleetPlacement(fleetHosts, "", func(i int) bool { return i == 5 })
	for i := range fleetAccounts {
		id := bbtfleet.AccountID(fmt.Sprintf("account-%05d", i))
		prev, curr := before.HomeHosts(id), after.HomeHosts(id)
		if !slices.Contains(prev, "host-005") && !slices.Equal(prev, curr) {
			t.Errorf("%s: homes moved from %v to %v", id, prev, curr)
		}
		prevKeyHome, _ := before.KeyHome(id, "order-1")
		currKeyHome, _ := after.KeyHome(id, "order-1")
		if prevKeyHome != "host-005" && currKeyHome != prevKeyHome {
			t.Errorf("%s: home of the key moved from %s to %s", id, prevKeyHome, currKeyHome)
		}
	}
}

func TestFencingTokensPreserveTheOrder(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	fence := rapid.Custom(func(t *rapid.T) bbtowner.Fence {
		revisions := []bbtfleet.Revision{0, 1, 1<<22 - 1}
		v := bbtowner.NewView(
			rapid.SampledFrom(revisions).Draw(t, "config"), rapid.SampledFrom(revisions).Draw(t, "list"))
		epoch := rapid.SampledFrom([]uint32{0, 1, 1<<16 - 1}).Draw(t, "epoch")
		return bbtowner.NewFence(v, epoch, rapid.IntRange(0, 2).Draw(t, "rank"))
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b := fence.Draw(t, "a"), fence.Draw(t, "b")
		na, errA := a.Token()
		nb, errB := b.Token()
		if errA != nil || errB != nil {
			t.Fatal(errA, errB)
		}
		if got, want := na < nb, a.Compare(b) < 0; got != want || na == 0 {
			t.Fatalf("got %d < %d = %v, want %v", na, nb, got, want)
		}
		if got := bbtowner.ParseFence(na); got != a {
			t.Fatalf("got %v from the token of %v", got, a)
		}
	})
	if _, err := bbtowner.NewFence(bbtowner.NewView(1<<22, 0), 0, 0).Token(); err == nil {
		t.Error("got a token for a revision that does not fit")
	}
}
