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

// rendezvous returns the host with the highest score.
func rendezvous(hosts []bbtfleet.HostID, key uint64) bbtfleet.HostID {
	var best bbtfleet.HostID
	var most uint64
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], key)
	for _, h := range hosts {
		var d xxhash.Digest
		d.Reset()
		_, _ = d.WriteString(string(h))
		_, _ = d.Write(b[:])
		if s := d.Sum64(); s >= most {
			best, most = h, s
		}
	}
	return best
}

// BenchmarkDecide measures an uncounted decision after three changes of the
// host list within the time to settle.
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
					b.Fatal("settled at once")
				}
			}
		})
	}
}

// BenchmarkRecordBytes measures the memory of remembered keys.
func BenchmarkRecordBytes(b *testing.B) {
	for _, n := range []int{1024, 8192, 65536} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(0, 0)
			var perKey float64
			for b.Loop() {
				before := heap()
				h := bbthome.New("host-0", rendezvous)
				for i := range n {
					k := bbthome.NewKey("kitchen", bbtticket.KeyDigest(i+1))
					h.Record(now, k, uint64(i), bbthome.First)
				}
				perKey = float64(heap()-before) / float64(n)
				runtime.KeepAlive(h)
			}
			b.ReportMetric(perKey, "B/key")
		})
	}
}

// heap returns the bytes in use.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
