package bbtsuspect_test

import (
	"fmt"
	"testing"
	"time"

	"bluebelltray/core/bbtsuspect"
	"github.com/fxamacker/cbor/v2"
)

// BenchmarkClaim measures a claim and its release among others in flight.
func BenchmarkClaim(b *testing.B) {
	for _, n := range []int{64, 1024, 16384} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var s bbtsuspect.Suspicions
			g := bbtsuspect.NewGuard(&s)
			now := time.Unix(0, 0)
			c := bbtsuspect.Copy{Host: "host-1", Incarnation: 1}
			for i := range n {
				g.Claim(now, bbtsuspect.Claim{Fingerprint: bbtsuspect.Fingerprint(i), Copy: c})
			}
			f := bbtsuspect.Fingerprint(n)
			b.ReportAllocs()
			for b.Loop() {
				f++
				g.Claim(now, bbtsuspect.Claim{Fingerprint: f, Copy: c})
				g.Release(now, bbtsuspect.Release{Fingerprint: f, Copy: c, Whole: true})
			}
		})
	}
}

// BenchmarkWire measures the messages of one request with its guard and one
// notice.
func BenchmarkWire(b *testing.B) {
	c := bbtsuspect.Copy{Host: "mi-lambrate-17", Incarnation: 1764822000000000000, ID: 1 << 20}
	messages := []any{
		bbtsuspect.Claim{Fingerprint: 1 << 63, Copy: c},
		bbtsuspect.Grant{Fingerprint: 1 << 63, Copy: c, Treatment: bbtsuspect.Free},
		bbtsuspect.Release{Fingerprint: 1 << 63, Copy: c, Whole: true},
		bbtsuspect.Notice{
			Fingerprint: 1 << 63,
			Crash:       bbtsuspect.Crash{Endpoint: "mi-lambrate-llm-1", Incarnation: 1764822000000000000},
			RemainingMS: bbtsuspect.SuspicionTime.Milliseconds(),
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
		bbtsuspect.Of("kitchen", "/summary", body)
	}
}
