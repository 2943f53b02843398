package bbtlimit_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
)

// BenchmarkAdmit measures admission for accounts that are already active, and
// for new accounts, whose homes must be computed.
func BenchmarkAdmit(b *testing.B) {
	const accounts = 19_000
	ids := make([]bbtfleet.AccountID, accounts)
	contracts := make([]bbtfleet.Contract, accounts)
	for i := range accounts {
		contracts[i] = contract(fmt.Sprintf("account-%05d", i), 200, 2000)
		ids[i] = contracts[i].Account()
	}
	for _, hosts := range []int{6, 40, 400} {
		l := newLimiter(hostIDs(hosts), contracts...)
		now := start
		b.Run(fmt.Sprintf("active/hosts=%d", hosts), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				l.Admit(now, ids[i%10], 20)
			}
		})
		b.Run(fmt.Sprintf("first/hosts=%d", hosts), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if i%accounts == 0 {
					l = newLimiter(hostIDs(hosts), contracts...)
				}
				l.Admit(now, ids[i%accounts], 20)
			}
		})
	}
}

// BenchmarkAccounts reports the heap size of the state of one account.
func BenchmarkAccounts(b *testing.B) {
	const accounts = 19_000
	var contracts []bbtfleet.Contract
	for i := range accounts {
		contracts = append(contracts, contract(fmt.Sprintf("account-%05d", i), 200, 2000))
	}
	for b.Loop() {
		l := newLimiter(hostIDs(400), contracts...)
		before := heap()
		for _, c := range contracts {
			l.Admit(start, c.Account(), 20)
		}
		b.ReportMetric(float64(heap()-before)/float64(l.ActiveAccounts()), "B/account")
	}
}

// heap returns the live heap in bytes.
func heap() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}
