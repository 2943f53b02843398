package bbthome_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbthome"
)

// The timing of the simulated fleet.
const (
	maxLag       = 4 * time.Second
	lease        = 3 * time.Second
	resendWindow = 8 * time.Second
	tick         = 500 * time.Millisecond
	maxDrift     = 0.2
)

// key is the only key that the tests use.
var key = bbthome.NewKey("kitchen", 7)

// fleet simulates a host list that changes and hosts that read it with a delay.
type fleet struct {
	rng          *rand.Rand
	now          time.Time
	lists        []bbtfleet.HostList
	publishedAt  []time.Time // publication time of each list
	registries   []*bbthome.Registry
	disconnected []bool // hosts that currently cannot read the list
}

func newFleet(seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(0, 0)}
	for i := range 3 {
		f.registries = append(f.registries, nil)
		f.disconnected = append(f.disconnected, false)
		f.restart(i)
	}
	f.publish()
	return f
}

// restart replaces a host's process by a new one.
func (f *fleet) restart(i int) {
	selectFirst := func(hosts []bbtfleet.HostID, _ uint64) bbtfleet.HostID { return hosts[0] }
	f.registries[i] = bbthome.New(host(i), selectFirst,
		bbthome.WithMaxLag(maxLag), bbthome.WithLease(lease), bbthome.WithResendWindow(resendWindow), bbthome.WithMaxDrift(maxDrift))
}

// clock returns the time on a host's clock. The clock of the first host has no
// drift, that of the last host runs fastest.
func (f *fleet) clock(i int) time.Time {
	elapsed := f.now.Sub(time.Unix(0, 0))
	return f.now.Add(time.Duration(maxDrift * float64(elapsed) * float64(i) / float64(len(f.registries)-1)))
}

func host(i int) bbtfleet.HostID { return bbtfleet.HostID(fmt.Sprint("edin-", i)) }

// publish adds a host list that holds one random host, the key's new home.
func (f *fleet) publish() {
	hosts := []bbtfleet.Host{bbtfleet.NewHost(host(f.rng.IntN(len(f.registries))), "edin-a")}
	f.lists = append(f.lists, bbtfleet.NewHostList(bbtfleet.Revision(len(f.lists)+1), hosts))
	f.publishedAt = append(f.publishedAt, f.now)
}

// step advances the time by a tick. The list may change, hosts may disconnect,
// reconnect or restart, and each connected host reads any list that the maximum
// lag allows.
func (f *fleet) step() {
	f.now = f.now.Add(tick)
	if f.rng.IntN(30) == 0 {
		f.publish()
	}
	oldest := 0
	for i, at := range f.publishedAt {
		if !at.After(f.now.Add(-maxLag)) {
			oldest = i
		}
	}
	for i, h := range f.registries {
		if f.rng.IntN(20) == 0 {
			f.disconnected[i] = !f.disconnected[i]
		}
		if !f.disconnected[i] {
			l := f.lists[oldest+f.rng.IntN(len(f.lists)-oldest)]
			h.Confirm(f.clock(i), f.clock(i), bbthome.NewView(l))
		}
		if f.rng.IntN(400) == 0 {
			f.restart(i)
		}
	}
}

// The caller receives and sends only some of the tickets issued to it. Within the
// resend window after it sent one, no other process may issue it a ticket, or the
// request could run twice.
func TestNoSecondTicketAfterOneWasSent(t *testing.T) {
	sent := 0
	for seed := range uint64(400) {
		f := newFleet(seed)
		var sentAt time.Time
		var executor *bbthome.Registry
		for range 1000 {
			f.step()
			if f.now.Sub(sentAt) >= resendWindow {
				executor = nil
			}
			for i, h := range f.registries {
				if h == executor || h.Decide(f.clock(i), key, bbthome.Uncounted) != bbthome.Allowed {
					continue
				}
				if executor != nil {
					t.Fatalf("seed %d: %s issued a ticket %v after one of another process was sent", seed, host(i), f.now.Sub(sentAt))
				}
				h.Record(f.clock(i), key, 1, bbthome.Uncounted)
				if f.rng.IntN(2) == 0 {
					executor, sentAt = h, f.now
					sent++
				}
			}
		}
	}
	if sent == 0 {
		t.Error("got no ticket sent in any run")
	}
}
