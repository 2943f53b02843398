package bbtsuspect_test

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtsuspect"
	"github.com/fxamacker/cbor/v2"
)

// BenchmarkClaim measures a claim and its release while n claims of other
// requests are outstanding.
func BenchmarkClaim(b *testing.B) {
	for _, n := range []int{64, 1024, 16384} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var s bbtsuspect.Suspects
			coordinator := bbtsuspect.NewCoordinator(&s)
			now := time.Unix(0, 0)
			attempt := bbtsuspect.Attempt{Host: "host-1", Incarnation: 1}
			for i := range n {
				coordinator.Claim(now, bbtsuspect.Claim{Fingerprint: bbtsuspect.Fingerprint(i), Attempt: attempt})
			}
			f := bbtsuspect.Fingerprint(n)
			b.ReportAllocs()
			for b.Loop() {
				f++
				coordinator.Claim(now, bbtsuspect.Claim{Fingerprint: f, Attempt: attempt})
				coordinator.Release(now, bbtsuspect.Release{Fingerprint: f, Attempt: attempt, Complete: true})
			}
		})
	}
}

// rendezvous returns the host with the highest score.
func rendezvous(hosts []bbtfleet.HostID, key uint64) bbtfleet.HostID {
	var best bbtfleet.HostID
	var most bbtsuspect.Fingerprint
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], key)
	for _, h := range hosts {
		if s := bbtsuspect.NewFingerprint("", string(h), b[:]); s >= most {
			best, most = h, s
		}
	}
	return best
}

// BenchmarkAgent measures an unproven request that the host coordinates itself,
// from the admission request to the end of the call.
func BenchmarkAgent(b *testing.B) {
	for _, n := range []int{6, 40, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var hosts []bbtfleet.HostID
			for i := range n {
				hosts = append(hosts, bbtfleet.HostID(fmt.Sprint("host-", i)))
			}
			now := time.Unix(0, 0)
			a := bbtsuspect.NewAgent("host-0", 1, rendezvous)
			a.Step(now, bbtsuspect.HostsChanged{Hosts: hosts})
			now = now.Add(bbtsuspect.SettlingTime)
			id, f := bbtsuspect.CallID(0), bbtsuspect.Fingerprint(0)
			for rendezvous(hosts, uint64(f)) != "host-0" {
				f++
			}
			b.ReportAllocs()
			for b.Loop() {
				id++
				if len(a.Step(now, bbtsuspect.AdmissionRequested{Call: id, Fingerprint: f})) != 1 {
					b.Fatal("got no admission of the call")
				}
				a.Step(now, bbtsuspect.CallEnded{Call: id})
			}
		})
	}
}

// BenchmarkWire measures encoding the messages of one request and one notice.
func BenchmarkWire(b *testing.B) {
	attempt := bbtsuspect.Attempt{Host: "mi-lambrate-17", Incarnation: 1764822000000000000, ID: 1 << 20}
	messages := []any{
		bbtsuspect.Claim{Fingerprint: 1 << 63, Attempt: attempt},
		bbtsuspect.ClaimResponse{Fingerprint: 1 << 63, Attempt: attempt, DispatchMode: bbtsuspect.Free},
		bbtsuspect.Release{Fingerprint: 1 << 63, Attempt: attempt, Complete: true},
		bbtsuspect.Notice{
			Fingerprint: 1 << 63,
			Crash:       bbtsuspect.Crash{Endpoint: "mi-lambrate-llm-1", Incarnation: 1764822000000000000},
			RemainingMS: bbtsuspect.SuspectTTL.Milliseconds(),
		},
	}
	var sizes [4]int
	for b.Loop() {
		for i, m := range messages {
			raw, err := cbor.Marshal(m)
			if err != nil {
				b.Fatal(err)
			}
			sizes[i] = len(raw)
		}
	}
	b.ReportMetric(float64(sizes[0]), "claim-B")
	b.ReportMetric(float64(sizes[1]), "grant-B")
	b.ReportMetric(float64(sizes[2]), "release-B")
	b.ReportMetric(float64(sizes[3]), "notice-B")
}

func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 16<<10)
	b.ReportAllocs()
	for b.Loop() {
		bbtsuspect.NewFingerprint("kitchen", "/summary", body)
	}
}
