package bbtroute_test

import (
	"fmt"
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtroute"
)

// BenchmarkDecision measures one request from Submit to Finished while 58 others
// are dispatched. The pool has 10 endpoints with 6 hosts, 30 with 40 and 46 with
// 400.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ hosts, endpoints int }{{6, 10}, {40, 30}, {400, 46}} {
		b.Run(fmt.Sprintf("hosts=%d", size.hosts), func(b *testing.B) {
			now := time.Unix(1000, 0)
			entry := bbtroute.New("self", now)
			var targets []bbtroute.Target
			for i := range size.endpoints {
				ep := bbtfleet.NewEndpoint(bbtfleet.EndpointID(fmt.Sprint("e", i)), "z", bbtfleet.ModelEngine, pool)
				targets = append(targets, bbtroute.Target{Endpoint: ep, Owner: bbtfleet.HostID(fmt.Sprint("o", i*7%size.hosts))})
			}
			entry.SetTargets(now, targets)
			id := bbtgrant.RequestID(0)
			dispatch := func() {
				id++
				r := bbtroute.Request{ID: id, Pool: pool, Tier: 1, Account: "a", Deadline: now.Add(time.Minute), Prefix: uint64(id % 50)}
				owner := entry.Submit(now, r)[0].(bbtroute.Send).To
				entry.Granted(now, owner, bbtgrant.Permit{ID: 1, Request: id, Endpoint: "x", Expiry: now.Sub(time.Unix(1000, 0)) + time.Second})
			}
			for range 58 {
				dispatch()
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				dispatch()
				entry.FirstToken(now, id)
				entry.Finished(now, id, bbtroute.Outcome{Kind: bbtgrant.Finished})
				entry.Tick(now)
				entry.Next()
			}
		})
	}
}
