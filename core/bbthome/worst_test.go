package bbthome_test

import (
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbthome"
)

func TestUncountedResendAfterCountedAttemptIsUnsettled(t *testing.T) {
	f := newFleet(1)
	h := f.registries[0]
	list := bbtfleet.NewHostList(1, []bbtfleet.Host{bbtfleet.NewHost(host(0), "edin-a")})
	h.Confirm(f.now, f.now, bbthome.NewView(list))
	f.now = f.now.Add(time.Hour)
	h.Confirm(f.now, f.now, bbthome.NewView(list))
	h.Record(f.now, key, 1, bbthome.First)
	if got := h.Decide(f.now, key, bbthome.Uncounted); got != bbthome.Unsettled {
		t.Errorf("got %v, want unsettled", got)
	}
}

// The worst case for the settle time: the previous home reads the outdated list
// as late as the maximum lag allows and issues a ticket at the end of its lease.
// The resend arrives at the end of the resend window, at the host with the
// fastest clock.
func TestNewHomeWaitsForLastTicketOfPreviousHome(t *testing.T) {
	f := newFleet(1)
	previous, next := f.registries[0], f.registries[2]
	view := func(r bbtfleet.Revision, i int) bbthome.View {
		return bbthome.NewView(bbtfleet.NewHostList(r, []bbtfleet.Host{bbtfleet.NewHost(host(i), "edin-a")}))
	}
	previous.Confirm(f.now.Add(-time.Hour), f.now.Add(-time.Hour), view(1, 0))
	next.Confirm(f.clock(2), f.clock(2), view(2, 2))

	f.now = f.now.Add(maxLag - time.Millisecond)
	previous.Confirm(f.now, f.now, view(1, 0))
	f.now = f.now.Add(lease - time.Millisecond)
	if got := previous.Decide(f.now, key, bbthome.Uncounted); got != bbthome.Allowed {
		t.Errorf("previous home: got %v at the end of its lease, want allowed", got)
	}
	f.now = f.now.Add(resendWindow - time.Millisecond)
	next.Confirm(f.clock(2), f.clock(2), view(2, 2))
	if got := next.Decide(f.clock(2), key, bbthome.Uncounted); got != bbthome.Unsettled {
		t.Errorf("next home: got %v at the end of the resend window, want unsettled", got)
	}
	f.now = f.now.Add(time.Second)
	if got := next.Decide(f.clock(2), key, bbthome.Uncounted); got != bbthome.Allowed {
		t.Errorf("next home: got %v after the resend window, want allowed", got)
	}
}

func TestKeyHasNoHomeWithoutLiveHosts(t *testing.T) {
	f := newFleet(1)
	leaving := bbtfleet.NewHost(host(0), "edin-a", bbtfleet.WithHostState(bbtfleet.HostLeaving))
	f.registries[0].Confirm(f.now, f.now, bbthome.NewView(bbtfleet.NewHostList(1, []bbtfleet.Host{leaving})))
	if got := f.registries[0].HomeOf(key); got != "" {
		t.Errorf("got home %q while the only host is leaving, want none", got)
	}
}
