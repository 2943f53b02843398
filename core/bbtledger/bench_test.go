package bbtledger_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtledger"
)

// ticketCounts are the numbers of tickets in the ledgers under test.
var ticketCounts = []int{1024, 8192, 65536}

// newFilledLedger returns a ledger that holds n finished tickets with responses
// of the given size.
func newFilledLedger(n, responseBytes int) *bbtledger.Ledger {
	l := bbtledger.NewLedger(bbtledger.WithEntries(2*n), bbtledger.WithAccountEntries(2*n), bbtledger.WithResponseBytes(n*responseBytes))
	now := time.Unix(0, 0)
	for i := range n {
		account := bbtfleet.AccountID(fmt.Sprint("account-", i%100))
		seq, _, _ := l.Issue(now, account)
		l.Redeem(now, seq, account, uint64(i))
		d, _ := l.Dispatch(now, seq)
		l.Finish(seq, d, bbtledger.NewResponse(200, "", make([]byte, responseBytes)))
	}
	return l
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkEntryBytes(b *testing.B) {
	for _, n := range ticketCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var perEntry float64
			for b.Loop() {
				before := heapBytes()
				l := newFilledLedger(n, 0)
				perEntry = float64(heapBytes()-before) / float64(n)
				runtime.KeepAlive(l)
			}
			b.ReportMetric(perEntry, "B/entry")
		})
	}
}

func BenchmarkTicketLifecycle(b *testing.B) {
	for _, n := range ticketCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newFilledLedger(n, 1024)
			now := time.Unix(0, 0)
			step := (bbtledger.DefaultLifetime + bbtledger.DefaultRetention) / time.Duration(n)
			body := make([]byte, 1024)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(step)
				seq, _, _ := l.Issue(now, "kitchen")
				l.Redeem(now, seq, "kitchen", seq)
				d, ok := l.Dispatch(now, seq)
				if !ok || !l.Finish(seq, d, bbtledger.NewResponse(200, "", body)) {
					b.Fatal("ticket was not dispatched and finished")
				}
			}
		})
	}
}
