package bbtgrant_test

import (
	"fmt"
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"github.com/fxamacker/cbor/v2"
)

// BenchmarkDecision measures one registration, one returned permit and the
// grant that follows, while 200 requests of many hosts wait.
func BenchmarkDecision(b *testing.B) {
	for _, hosts := range []int{6, 40, 400} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			x := newHarness()
			x.warm()
			var granted []bbtgrant.Grant
			n := 0
			register := func() {
				n++
				from := bbtfleet.HostID(fmt.Sprint("h", n%hosts))
				r := bbtgrant.Registration{Request: bbtgrant.RequestID(n), Pool: pool, Account: bbtfleet.AccountID(fmt.Sprint(n % 20)), Tier: bbtfleet.Tier(n%4 + 1), TimeLeft: 1000 * time.Hour, InputTokens: 10, OutputTokens: 10}
				granted = grants(granted, x.owner.Register(x.now, from, r))
			}
			for range 200 {
				register()
			}
			b.ReportAllocs()
			for b.Loop() {
				register()
				g := granted[0]
				granted = grants(granted[1:], x.owner.Return(x.now, g.To, g.Permit.ID))
			}
		})
	}
}

// grants appends the grants among the actions to the slice.
func grants(to []bbtgrant.Grant, actions []bbtgrant.Action) []bbtgrant.Grant {
	for _, a := range actions {
		if g, ok := a.(bbtgrant.Grant); ok {
			to = append(to, g)
		}
	}
	return to
}

// BenchmarkEncode measures the encoded messages of one request that waits with
// two owners: two registrations, a permit, a withdrawal and the end of
// the dispatch.
func BenchmarkEncode(b *testing.B) {
	messages := []bbtgrant.Message{
		bbtgrant.Registration{Request: 1 << 20, Pool: "summary-large", Account: "account-12345", Tier: 2, SentAt: 100 * time.Hour, TimeLeft: 20 * time.Second, InputTokens: 800, OutputTokens: 400, Prefix: 1 << 63, PrefixTokens: 500},
		bbtgrant.Registration{Request: 1 << 20, Pool: "summary-large", Account: "account-12345", Tier: 2, SentAt: 100 * time.Hour, TimeLeft: 20 * time.Second, InputTokens: 800, OutputTokens: 400, Prefix: 1 << 63, PrefixTokens: 500},
		bbtgrant.Permit{ID: 1 << 60, Request: 1 << 20, Endpoint: "llm-server-123", Incarnation: 1 << 60, Expiry: 100 * time.Hour},
		bbtgrant.Withdrawal{Request: 1 << 20},
		bbtgrant.DispatchEnded{Permit: 1 << 60, Outcome: bbtgrant.Finished, OutputTokens: 200, TimeToFirstToken: 300 * time.Millisecond, Elapsed: 8 * time.Second},
	}
	size := 0
	for b.Loop() {
		size = 0
		for _, m := range messages {
			data, err := cbor.Marshal(m)
			if err != nil {
				b.Fatal(err)
			}
			size += len(data)
		}
	}
	b.ReportMetric(float64(size), "B/request")
}

// BenchmarkWait measures the memory of a waiting request as the bytes that its
// registration allocates.
func BenchmarkWait(b *testing.B) {
	x := newHarness()
	x.owner = bbtgrant.New(bbtgrant.WithMaxWaiting(1 << 30))
	x.owner.SetEndpoints(x.now, []bbtfleet.Endpoint{bbtfleet.NewEndpoint("e", "z", bbtfleet.ModelEngine, pool)})
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		x.owner.Register(x.now, "h", bbtgrant.Registration{Request: bbtgrant.RequestID(n), Pool: pool, Account: bbtfleet.AccountID(fmt.Sprint(n % 1000)), Tier: bbtfleet.Tier(n%4 + 1), TimeLeft: time.Hour})
	}
}
