package bbtgrant_test

import (
	"fmt"
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
)

// BenchmarkDecision measures one registration, one permit's end and the grant
// that follows, with 200 requests of many hosts waiting.
func BenchmarkDecision(b *testing.B) {
	for _, hosts := range []int{6, 40, 400} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			x := newBench()
			x.warm()
			var granted []bbtgrant.Grant
			n := 0
			register := func() {
				n++
				from := bbtfleet.HostID(fmt.Sprint("h", n%hosts))
				r := bbtgrant.Registration{Request: bbtgrant.RequestID(n), Pool: pool, Account: bbtfleet.AccountID(fmt.Sprint(n % 20)), Tier: bbtfleet.Tier(n%4 + 1), Left: 1000 * time.Hour, Prompt: 10, Output: 10}
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

// grants adds the grants among the actions.
func grants(to []bbtgrant.Grant, actions []bbtgrant.Action) []bbtgrant.Grant {
	for _, a := range actions {
		if g, ok := a.(bbtgrant.Grant); ok {
			to = append(to, g)
		}
	}
	return to
}
