//go:build knownred

package conform

import (
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtowner"
)

// When a host becomes the owner, or becomes it again after another host was the owner,
// its orders may carry fencing tokens that are not larger than the previous ones until
// the endpoint has rejected one.
func TestOrdersOfAFormerOwnerAreRefused(t *testing.T) {
	checkSchedules(t, "100", bbtowner.MaxPermitLifetime, func(int) func([]Event) error { return FenceKept })
}

// Requests dispatched by a previous owner may still run after its permits have
// expired, so a new owner of a cold endpoint, here one that has reported no load yet,
// must wait for a load report.
func TestNewOwnerOfAColdEndpointAwaitsAReport(t *testing.T) {
	now := time.Unix(0, 0)
	o := bbtgrant.New()
	o.SetEndpoints(now, []bbtfleet.Endpoint{bbtfleet.NewEndpoint(engine, "edin-a", bbtfleet.ModelEngine, "summary", bbtfleet.WithSlots(8))})
	now = now.Add(time.Minute)
	o.ConfirmView(now)
	got := o.Register(now, "entry-1", bbtgrant.Registration{Request: 1, Pool: "summary", Tier: 1, TimeLeft: time.Minute})
	if len(got) != 0 {
		t.Errorf("got %+v before the first load report, want no actions", got)
	}
}
