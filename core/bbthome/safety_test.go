package bbthome_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbthome"
)

// The times of the test's fleet.
const (
	lag    = 4 * time.Second
	lease  = 3 * time.Second
	window = 8 * time.Second
	tick   = 500 * time.Millisecond
	drift  = 0.2
)

// key is the one key of the test's caller.
var key = bbthome.NewKey("kitchen", 7)

// fleet is a host list that changes and hosts that read it late.
type fleet struct {
	rng   *rand.Rand
	now   time.Time
	lists []bbtfleet.HostList
	at    []time.Time // when each list was published
	homes []*bbthome.Home
	deaf  []bool // hosts that read nothing for now
}

func newFleet(seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(0, 0)}
	for i := range 3 {
		f.homes = append(f.homes, nil)
		f.deaf = append(f.deaf, false)
		f.start(i)
	}
	f.publish()
	return f
}

// start starts a new process.
func (f *fleet) start(i int) {
	first := func(hosts []bbtfleet.HostID, _ uint64) bbtfleet.HostID { return hosts[0] }
	f.homes[i] = bbthome.New(host(i), first,
		bbthome.WithMaxLag(lag), bbthome.WithLease(lease), bbthome.WithResendWindow(window), bbthome.WithMaxDrift(drift))
}

// clock returns the time on a host's clock; the last host's is the fastest.
func (f *fleet) clock(i int) time.Time {
	elapsed := f.now.Sub(time.Unix(0, 0))
	return f.now.Add(time.Duration(drift * float64(elapsed) * float64(i) / float64(len(f.homes)-1)))
}

func host(i int) bbtfleet.HostID { return bbtfleet.HostID(fmt.Sprint("edin-", i)) }

// publish makes a random host the key's home.
func (f *fleet) publish() {
	hosts := []bbtfleet.Host{bbtfleet.NewHost(host(f.rng.IntN(len(f.homes))), "edin-a")}
	f.lists = append(f.lists, bbtfleet.NewHostList(bbtfleet.Revision(len(f.lists)+1), hosts))
	f.at = append(f.at, f.now)
}

// step lets time pass: the list changes, hosts fall deaf and read, late and
// not at all, any list that the lag allows.
func (f *fleet) step() {
	f.now = f.now.Add(tick)
	if f.rng.IntN(30) == 0 {
		f.publish()
	}
	oldest := 0
	for i, at := range f.at {
		if !at.After(f.now.Add(-lag)) {
			oldest = i
		}
	}
	for i, h := range f.homes {
		if f.rng.IntN(20) == 0 {
			f.deaf[i] = !f.deaf[i]
		}
		if !f.deaf[i] {
			l := f.lists[oldest+f.rng.IntN(len(f.lists)-oldest)]
			h.Confirm(f.clock(i), f.clock(i), bbthome.NewView(l))
		}
		if f.rng.IntN(400) == 0 {
			f.start(i)
		}
	}
}

// A caller loses some tickets and presents another. No other process may issue
// one to a resend within the window.
func TestNoSecondTicketAfterOneWasPresented(t *testing.T) {
	issued := 0
	for seed := range uint64(400) {
		f := newFleet(seed)
		var presented time.Time
		var holder *bbthome.Home
		for range 1000 {
			f.step()
			if f.now.Sub(presented) >= window {
				holder = nil
			}
			for i, h := range f.homes {
				if h == holder || h.Decide(f.clock(i), key, bbthome.Uncounted) != bbthome.Allowed {
					continue
				}
				if holder != nil {
					t.Fatalf("seed %d: %s issued %v after another", seed, host(i), f.now.Sub(presented))
				}
				h.Record(f.clock(i), key, 1, bbthome.Uncounted)
				if f.rng.IntN(2) == 0 {
					holder, presented = h, f.now
					issued++
				}
			}
		}
	}
	if issued == 0 {
		t.Error("got no ticket at all")
	}
}
