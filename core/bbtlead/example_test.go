package bbtlead_test

import (
	"fmt"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtlead"
)

// Three hosts, one of them with twice the processor. It owns the services until
// it falls silent, and the others share the limits with it for as long as it may
// run cut off from them.
func ExampleElection() {
	now := time.Unix(1_700_000_000, 0)
	host := func(id string, age time.Duration, cores float64) bbtlead.Host {
		return bbtlead.Host{ID: bbtfleet.HostID("10.0.0." + id), Incarnation: bbtlead.NewIncarnation(now.Add(-age), cores)}
	}
	oldest, self, strong := host("1", time.Hour, 0.4), host("2", time.Minute, 0.4), host("3", time.Second, 0.8)
	l := bbtlead.New(self)
	l.SetLivePeers(now, []bbtlead.Host{oldest, strong})
	l.Elect(now, false)
	fmt.Println("owner", l.Owner().ID)

	l.MarkUnresponsive(now, strong.ID)
	l.Elect(now, false)
	fmt.Println("owner", l.Owner().ID)
	fmt.Printf("%.2f of the limits\n", l.Share(now, 0).Limits)
	// Output:
	// owner 10.0.0.3
	// owner 10.0.0.1
	// 0.33 of the limits
}
