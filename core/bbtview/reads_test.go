package bbtview_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtview"
	"github.com/fxamacker/cbor/v2"
)

// zonedHostList returns a host list of n hosts spread over the given number of
// zones.
func zonedHostList(n, zones int) bbtfleet.HostList {
	var hosts []bbtfleet.Host
	for i := range n {
		hosts = append(hosts, bbtfleet.NewHost(bbtfleet.HostID(fmt.Sprintf("h%d", i)), bbtfleet.ZoneID(fmt.Sprintf("z%d", i%zones))))
	}
	return bbtfleet.NewHostList(1, hosts)
}

// newConfiguredViews returns the Views of the hosts of a list, each with the
// active configuration p.
func newConfiguredViews(l bbtfleet.HostList, p publication) []*bbtview.View {
	var out []*bbtview.View
	for i, h := range l.Hosts() {
		view := bbtview.New(h.ID(), h.Zone(), rand.New(rand.NewPCG(3, uint64(i))), bbtview.WithParsers(parseManifest, parse))
		view.Start(begin)
		view.HostListRead(begin, l)
		applyPublication(view, begin, p)
		out = append(out, view)
	}
	return out
}

func TestReadersPerZoneWatchTheManifest(t *testing.T) {
	const zones = 4
	watches := make(map[bbtfleet.ZoneID]int)
	l := zonedHostList(40, zones)
	for i, view := range newConfiguredViews(l, publish(7, "a")) {
		var actions []bbtview.Action
		for s := range 10 {
			actions = append(actions, view.Tick(begin.Add(time.Duration(s)*time.Second))...)
		}
		if hasAction[bbtview.WatchManifest](actions) {
			watches[l.Hosts()[i].Zone()]++
		}
	}
	if len(watches) != zones {
		t.Errorf("got watches in %d zones, want %d", len(watches), zones)
	}
	for z, n := range watches {
		if n != bbtview.ReadersPerZone {
			t.Errorf("%s: got %d watches, want %d", z, n, bbtview.ReadersPerZone)
		}
	}
}

func TestReadsStayWithinFleetReadRateDuringOutage(t *testing.T) {
	const seconds = 60
	views := newConfiguredViews(zonedHostList(400, 7), publish(7, "a"))
	reads := make([]int, seconds)
	for now := begin; now.Before(begin.Add(seconds * time.Second)); now = now.Add(bbtview.TickInterval) {
		s := int(now.Sub(begin) / time.Second)
		for i, view := range views {
			if i%2 == 0 { // odd hosts get no answer from a peer
				d := view.Digest(now)
				d.Age = bbtview.AgeUnknown
				view.ReceiveDigest(now, now, "peer", d)
			}
			for _, a := range view.Tick(now) {
				switch a.(type) {
				case bbtview.ReadManifest:
					reads[s]++
					view.ReadFailed(now, bbtview.ManifestKey)
				case bbtview.WatchManifest:
					reads[s]++
					view.WatchFailed(now)
				case bbtview.ReadHostList:
					reads[s]++
					view.HostListReadFailed(now)
				}
			}
		}
	}
	for s, n := range reads {
		if n > bbtview.DefaultFleetReadRate {
			t.Errorf("second %d: got %d reads, want at most %d", s, n, bbtview.DefaultFleetReadRate)
		}
	}
}

func TestHostListReadsAreSpreadAfterSimultaneousStart(t *testing.T) {
	const window = 10 * time.Second
	views := newConfiguredViews(zonedHostList(400, 7), publish(7, "a"))
	reads := make(map[time.Duration]int)
	for now := begin; now.Before(begin.Add(7 * window)); now = now.Add(bbtview.TickInterval) {
		for _, view := range views {
			if hasAction[bbtview.ReadHostList](view.Tick(now)) {
				reads[now.Sub(begin).Truncate(window)]++
			}
		}
	}
	for at := window; at < 7*window; at += window { // the first window has the reads of all hosts at the start
		if got, least, most := reads[at], 3, 30; got < least || got > most {
			t.Errorf("got %d reads from %v for %v, want %d to %d", got, at, window, least, most)
		}
	}
}

func TestHostListDeltaReproducesTheList(t *testing.T) {
	a, b := newView("h0"), newView("h1")
	applyPublication(a, begin, publish(7, "a"))
	applyPublication(b, begin, publish(7, "a"))
	a.HostListRead(begin, hostList(1, 5))
	b.HostListRead(begin, hostList(1, 5))
	changed := hostList(2, 6).Hosts()[1:]
	changed[0] = bbtfleet.NewHost("h1", "edin-a", bbtfleet.WithHostState(bbtfleet.HostLeaving))
	b.HostListRead(begin, bbtfleet.NewHostList(2, changed))
	exchangeQuery(begin, a, b)
	got, want := a.Hosts(), b.Hosts()
	if got.Revision() != 2 || fmt.Sprint(got.Hosts()) != fmt.Sprint(want.Hosts()) {
		t.Errorf("got %v, want %v", got, want)
	}
	var q bbtview.Query
	q.Digest.Hosts = 1
	for _, act := range b.ReceiveQuery(begin, "h0", q) {
		if r, ok := act.(bbtview.SendReply); ok && (len(r.Reply.Hosts.Set) != 2 || len(r.Reply.Hosts.Removed) != 1) {
			t.Errorf("got delta %+v, want 2 hosts set and 1 removed", r.Reply.Hosts)
		}
	}
}

func TestDigestSize(t *testing.T) {
	d := bbtview.Digest{Revision: 100_000, Content: 1 << 63, Hosts: 100_000, Age: 10_000}
	data, err := cbor.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(data), 32; got > want {
		t.Errorf("got %d bytes, want at most %d", got, want)
	}
}
