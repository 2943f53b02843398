package bbtschedule

import (
	"math"
	"testing"

	"bluebelltray/core/bbtcatalog"
)

// Guards against counts of slots that overflow, stated by an endpoint or a service: the
// requests for all of them would be refused.
func TestHugeSlotsDoNotOverflow(t *testing.T) {
	const slots = 4
	for name, odd := range map[string]bbtcatalog.Endpoint{
		"endpoint": {ID: "odd", Service: "model", Address: "10.0.0.9:80", Slots: math.MaxInt},
		"negative": {ID: "odd", Service: "model", Address: "10.0.0.9:80", Slots: math.MinInt},
	} {
		s := New(bounds())
		list := append(listed("model", 2, slots), bbtcatalog.ListedEndpoint{Endpoint: odd, ReceivedAt: start})
		s.SetCatalog(start, bbtcatalog.NewIndex(testConfig(slots)), list)
		for _, st := range s.Status(start) {
			if st.Name == "model" && st.PermitsPerSecond < 2*slots {
				t.Errorf("%s: got %v permits a second with %d sound slots", name, st.PermitsPerSecond, 2*slots)
			}
		}
	}
	c := testConfig(math.MaxInt)
	s := New(bounds())
	s.SetCatalog(start, bbtcatalog.NewIndex(c), listed("model", 2, 0))
	for _, st := range s.Status(start) {
		if st.Name == "model" && st.PermitsPerSecond < 2*slots {
			t.Errorf("service: got %v permits a second with slots without end", st.PermitsPerSecond)
		}
	}
}
