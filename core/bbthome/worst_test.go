package bbthome_test

import (
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbthome"
)

func TestCountedKeyIsNotIssuedToUncountedResend(t *testing.T) {
	f := newFleet(1)
	h := f.homes[0]
	list := bbtfleet.NewHostList(1, []bbtfleet.Host{bbtfleet.NewHost(host(0), "edin-a")})
	h.Confirm(f.now, f.now, bbthome.NewView(list))
	f.now = f.now.Add(time.Hour)
	h.Confirm(f.now, f.now, bbthome.NewView(list))
	h.Record(f.now, key, 1, bbthome.First)
	if got := h.Decide(f.now, key, bbthome.Uncounted); got != bbthome.Unsettled {
		t.Errorf("got %v, want unsettled", got)
	}
}

// The former home reads the list as late as the lag allows and issues at the
// end of its lease; the resend comes at the end of the window, on the fastest
// clock.
func TestNewHomeWaitsOutTheLastTicketOfTheFormer(t *testing.T) {
	f := newFleet(1)
	former, next := f.homes[0], f.homes[2]
	list := func(r bbtfleet.Revision, i int) bbthome.View {
		return bbthome.NewView(bbtfleet.NewHostList(r, []bbtfleet.Host{bbtfleet.NewHost(host(i), "edin-a")}))
	}
	former.Confirm(f.now.Add(-time.Hour), f.now.Add(-time.Hour), list(1, 0))
	next.Confirm(f.clock(2), f.clock(2), list(2, 2))

	f.now = f.now.Add(lag - time.Millisecond)
	former.Confirm(f.now, f.now, list(1, 0))
	f.now = f.now.Add(lease - time.Millisecond)
	if got := former.Decide(f.now, key, bbthome.Uncounted); got != bbthome.Allowed {
		t.Errorf("former home: got %v at the end of its lease, want allowed", got)
	}
	f.now = f.now.Add(window - time.Millisecond)
	next.Confirm(f.clock(2), f.clock(2), list(2, 2))
	if got := next.Decide(f.clock(2), key, bbthome.Uncounted); got != bbthome.Unsettled {
		t.Errorf("next home: got %v for the last resend, want unsettled", got)
	}
	f.now = f.now.Add(time.Second)
	if got := next.Decide(f.clock(2), key, bbthome.Uncounted); got != bbthome.Allowed {
		t.Errorf("next home: got %v once the window is over, want allowed", got)
	}
}

func TestNoHomeAmongNoHosts(t *testing.T) {
	f := newFleet(1)
	leaving := bbtfleet.NewHost(host(0), "edin-a", bbtfleet.WithHostState(bbtfleet.HostLeaving))
	f.homes[0].Confirm(f.now, f.now, bbthome.NewView(bbtfleet.NewHostList(1, []bbtfleet.Host{leaving})))
	if got := f.homes[0].HomeOf(key); got != "" {
		t.Errorf("got home %q while each host leaves, want none", got)
	}
}
