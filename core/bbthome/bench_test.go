package bbthome_test

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbthome"
	"bluebelltray/core/bbtticket"
	"github.com/cespare/xxhash/v2"
)

// rendezvous returns the host with the highest hash of its ID and the key.
func rendezvous(hosts []bbtfleet.HostID, key uint64) bbtfleet.HostID {
	var best bbtfleet.HostID
	var bestScore uint64
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], key)
	for _, h := range hosts {
		var d xxhash.Digest
		d.Reset()
		_, _ = d.WriteString(string(h))
		_, _ = d.Write(b[:])
		if score := d.Sum64(); score >= bestScore {
			best, bestScore = h, score
		}
	}
	return best
}

// BenchmarkDecide measures the decision for a caller that does not count its
// attempts, after three changes of the host list within the settle time.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{6, 40, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var hosts []bbtfleet.Host
			for i := range n {
				hosts = append(hosts, bbtfleet.NewHost(bbtfleet.HostID(fmt.Sprint("host-", i)), "edin-a"))
			}
			h := bbthome.New("host-0", rendezvous)
			now := time.Unix(0, 0)
			for r := range bbtfleet.Revision(3) {
				h.Confirm(now, now, bbthome.NewView(bbtfleet.NewHostList(r+1, hosts)))
			}
			key := bbthome.Key{}
			for d := bbtticket.KeyDigest(1); h.HomeOf(key) != "host-0"; d++ {
				key = bbthome.NewKey("kitchen", d)
			}
			b.ReportAllocs()
			for b.Loop() {
				if h.Decide(now, key, bbthome.Uncounted) != bbthome.Unsettled {
					b.Fatal("got a ticket allowed before the settle time, want unsettled")
				}
			}
		})
	}
}

// BenchmarkRecordBytes measures the memory used per recorded key.
func BenchmarkRecordBytes(b *testing.B) {
	for _, n := range []int{1024, 8192, 65536} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(0, 0)
			var perKey float64
			for b.Loop() {
				before := heapBytes()
				h := bbthome.New("host-0", rendezvous)
				for i := range n {
					k := bbthome.NewKey("kitchen", bbtticket.KeyDigest(i+1))
					h.Record(now, k, uint64(i), bbthome.First)
				}
				perKey = float64(heapBytes()-before) / float64(n)
				runtime.KeepAlive(h)
			}
			b.ReportMetric(perKey, "B/key")
		})
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
