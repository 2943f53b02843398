package bbtconfig_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"bluebelltray/core/bbtconfig"
	"bluebelltray/core/bbtfleet"
)

// targetAccounts is the number of client accounts that the design targets.
const targetAccounts = 19_000

// testConfiguration returns a configuration with n contracts.
func testConfiguration(n int) *bbtfleet.Configuration {
	zones := []bbtfleet.Zone{bbtfleet.NewZone("zone-1", "north", false), bbtfleet.NewZone("zone-2", "south", true)}
	endpoints := []bbtfleet.Endpoint{
		bbtfleet.NewEndpoint("tracking-1", "zone-1", bbtfleet.PlainService, "tracking", bbtfleet.WithAddr("10.0.0.1:80"), bbtfleet.WithFencing(true)),
		bbtfleet.NewEndpoint("labels-1", "zone-1", bbtfleet.PlainService, "labels", bbtfleet.WithAddr("10.0.0.2:80"), bbtfleet.WithEndpointOutOfService(true), bbtfleet.WithSlots(8)),
	}
	contracts := make([]bbtfleet.Contract, n)
	for i := range contracts {
		contracts[i] = bbtfleet.NewContract(bbtfleet.AccountID(fmt.Sprintf("account-%05d", i)), bbtfleet.Tier(1+i%4),
			bbtfleet.WithRequests(bbtfleet.NewRate(0.5, 4)),
			bbtfleet.WithTokens(bbtfleet.NewRate(100, 2000)),
			bbtfleet.WithDeadline(30*time.Second),
			bbtfleet.WithMaxRetries("tracking", 2),
			bbtfleet.WithMaxRetries("labels", 1))
	}
	return bbtfleet.NewConfiguration(bbtfleet.Version{}, bbtfleet.WithZones(zones...),
		bbtfleet.WithEndpoints(endpoints...), bbtfleet.WithContracts(contracts...))
}

// BenchmarkParse parses a complete configuration. In addition to time and
// allocations, it reports the number of parts, their size, and the heap that
// the result occupies.
func BenchmarkParse(b *testing.B) {
	for _, n := range []int{5, 1_000, targetAccounts} {
		b.Run(fmt.Sprintf("contracts=%d", n), func(b *testing.B) {
			manifest, parts := bbtconfig.Format(1, testConfiguration(n))
			m, err := bbtconfig.ParseManifest(manifest)
			if err != nil {
				b.Fatal(err)
			}
			size := len(manifest)
			for _, p := range parts {
				size += len(p.Data())
			}
			before := liveHeap()
			var cfg *bbtfleet.Configuration
			b.ReportAllocs()
			for b.Loop() {
				if cfg, err = bbtconfig.Parse(m, parts); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(liveHeap()-before), "held-B")
			b.ReportMetric(float64(len(parts)), "parts")
			b.ReportMetric(float64(size), "text-B")
			runtime.KeepAlive(cfg)
			runtime.KeepAlive(parts)
		})
	}
}

// BenchmarkParseChange parses a configuration in which one contract has
// changed.
func BenchmarkParseChange(b *testing.B) {
	before := testConfiguration(targetAccounts)
	manifests := [2]bbtconfig.Manifest{}
	parts := [2][]bbtconfig.Part{}
	for i, cfg := range []*bbtfleet.Configuration{before, withChangedContract(before)} {
		manifest, published := bbtconfig.Format(bbtfleet.Revision(i+1), cfg)
		m, err := bbtconfig.ParseManifest(manifest)
		if err != nil {
			b.Fatal(err)
		}
		manifests[i], parts[i] = m, published
	}
	var p bbtconfig.Parser
	if _, err := p.Parse(manifests[1], parts[1]); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, err := p.Parse(manifests[i%2], parts[i%2]); err != nil {
			b.Fatal(err)
		}
	}
}

// withChangedContract returns the configuration with a different contract for
// one account.
func withChangedContract(cfg *bbtfleet.Configuration) *bbtfleet.Configuration {
	contracts := cfg.Contracts()
	changed := &contracts[len(contracts)/3]
	*changed = bbtfleet.NewContract(changed.Account(), 7, bbtfleet.WithDeadline(bbtconfig.MaxDeadline))
	return bbtfleet.NewConfiguration(bbtfleet.Version{}, bbtfleet.WithZones(cfg.Zones()...),
		bbtfleet.WithEndpoints(cfg.Endpoints()...), bbtfleet.WithContracts(contracts...))
}

// liveHeap returns the size of the live heap in bytes.
func liveHeap() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}
