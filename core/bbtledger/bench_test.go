package bbtledger_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtledger"
)

// sizes are the tickets held by the ledgers measured.
var sizes = []int{1024, 8192, 65536}

// filled returns a ledger that holds n finished tickets with answers of the
// given size.
func filled(n, answer int) *bbtledger.Ledger {
	l := bbtledger.NewLedger(bbtledger.WithEntries(2*n), bbtledger.WithAccountEntries(2*n), bbtledger.WithResponseBytes(n*answer))
	now := time.Unix(0, 0)
	for i := range n {
		account := bbtfleet.AccountID(fmt.Sprint("account-", i%100))
		seq, _, _ := l.Issue(now, account)
		l.Present(now, seq, account, uint64(i))
		d, _ := l.Dispatch(now, seq)
		l.Finish(seq, d, bbtledger.NewResponse(200, "", make([]byte, answer)))
	}
	return l
}

// heap returns the bytes in use.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkEntryBytes(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var perEntry float64
			for b.Loop() {
				before := heap()
				l := filled(n, 0)
				perEntry = float64(heap()-before) / float64(n)
				runtime.KeepAlive(l)
			}
			b.ReportMetric(perEntry, "B/entry")
		})
	}
}

func BenchmarkTicketLife(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := filled(n, 1024)
			now := time.Unix(0, 0)
			step := (bbtledger.DefaultLifetime + bbtledger.DefaultRetention) / time.Duration(n)
			body := make([]byte, 1024)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(step)
				seq, _, _ := l.Issue(now, "kitchen")
				l.Present(now, seq, "kitchen", seq)
				d, ok := l.Dispatch(now, seq)
				if !ok || !l.Finish(seq, d, bbtledger.NewResponse(200, "", body)) {
					b.Fatal("ticket did not finish")
				}
			}
		})
	}
}
