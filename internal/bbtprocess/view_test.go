package bbtprocess_test

import (
	"context"
	"strings"
	"testing"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/internal/bbtprocess"
	"bluebelltray/internal/bbtstandin"
	"bluebelltray/io/bbtdaemon"
)

// status returns the status of the n-th host, or a zero Status if the host does not
// respond.
func status(f *bbtprocess.Fleet, n int) bbtdaemon.Status {
	var s bbtdaemon.Status
	if err := bbtprocess.Get(f.CallerAddr(hostID(n)), "/status", &s); err != nil {
		return bbtdaemon.Status{}
	}
	return s
}

// awaitRevision waits until every host has applied a configuration of the given
// revision.
func awaitRevision(ctx context.Context, t *testing.T, f *bbtprocess.Fleet, revision string) {
	t.Helper()
	for n := range hostCount {
		must(t, bbtprocess.Await(ctx, "revision "+revision+" is applied", func() bool {
			return strings.HasPrefix(status(f, n).Configuration, revision+"-")
		}))
	}
}

// startedRequests returns how many requests an engine has started.
func startedRequests(t *testing.T, f *bbtprocess.Fleet, engine string) int {
	t.Helper()
	var c bbtstandin.EngineCounts
	must(t, bbtprocess.Get(f.Process(engine).Addr(), "/control/counts", &c))
	return c.Started
}

func TestZoneOutOfServiceReceivesNoRequests(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t)
	updated := []bbtfleet.Zone{bbtfleet.NewZone("edin-a", "scotland", true), zones[1]}
	must(t, f.Publish(updated, contracts))
	awaitRevision(ctx, t, f, "2")
	before := startedRequests(t, f, "engine-0")
	for n := range hostCount {
		checkComplete(ctx, t, f, n)
	}
	if got, want := startedRequests(t, f, "engine-0"), before; got != want {
		t.Errorf("got %d requests in the zone that is out of service, want %d", got, want)
	}
	if got, want := startedRequests(t, f, "engine-1"), hostCount; got < want {
		t.Errorf("got %d requests in the other zone, want at least %d", got, want)
	}
}

func TestInvalidConfigurationIsRefusedAsAWhole(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t)
	bad := append([]bbtfleet.Contract{bbtfleet.NewContract("other", 200)}, contracts...)
	must(t, f.Publish(zones, bad))
	for n := range hostCount {
		must(t, bbtprocess.Await(ctx, "the configuration is refused", func() bool {
			return strings.Contains(status(f, n).Refused, "tier")
		}))
		if got, want := status(f, n).Configuration, "1-"; !strings.HasPrefix(got, want) {
			t.Errorf("host %d: got %s in force, want revision 1", n, got)
		}
	}
	checkComplete(ctx, t, f, 0)
}

func TestRestoredPlatformDoesNotRevertConfiguration(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t)
	must(t, f.Publish(zones, contracts))
	awaitRevision(ctx, t, f, "2")
	f.Process("platform").Kill()
	checkComplete(ctx, t, f, 0)
	must(t, f.RestartPlatform())
	must(t, f.PublishRevision(1, zones, contracts))
	must(t, f.PublishHosts())
	reads := func() uint64 {
		var n uint64
		if err := bbtprocess.Get(f.Process("platform").Addr(), "/control/reads", &n); err != nil {
			return 0
		}
		return n
	}
	must(t, bbtprocess.Await(ctx, "the restored platform is read", func() bool { return reads() > hostCount }))
	f.Process("host-2").Kill()
	must(t, f.StartHost("host-2"))
	must(t, bbtprocess.Await(ctx, "the restarted host serves", func() bool { return status(f, 2).Serving }))
	for n := range hostCount {
		if got, want := status(f, n).Configuration, "2-"; !strings.HasPrefix(got, want) {
			t.Errorf("host %d: got %s in force, want revision 2", n, got)
		}
	}
}

func TestHostsServeWhilePlatformIsFrozen(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t)
	must(t, f.Process("platform").Freeze(ctx))
	for n := range hostCount {
		checkComplete(ctx, t, f, n)
	}
}

func TestHostStartsFromPeersWithoutPlatform(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t)
	f.Process("platform").Kill()
	f.Process("host-2").Kill()
	must(t, f.StartHost("host-2"))
	must(t, bbtprocess.Await(ctx, "the restarted host serves", func() bool { return serves(f, 2) }))
	checkComplete(ctx, t, f, 2)
}
