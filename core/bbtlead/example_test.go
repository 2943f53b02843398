package bbtlead_test

import (
	"fmt"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtlead"
)

// One of three hosts has twice the CPU share of the others. It owns the services
// until it is unresponsive. The other hosts then leave it a share of the limits for
// as long as it may still be running on the other side of a network partition.
func ExampleElection() {
	now := time.Unix(1_700_000_000, 0)
	host := func(id string, age time.Duration, cores float64) bbtlead.Host {
		return bbtlead.Host{ID: bbtfleet.HostID("10.0.0." + id), Incarnation: bbtlead.NewIncarnation(now.Add(-age), cores)}
	}
	oldest, self, strong := host("1", time.Hour, 0.4), host("2", time.Minute, 0.4), host("3", time.Second, 0.8)
	e := bbtlead.New(self)
	e.SetLivePeers(now, []bbtlead.Host{oldest, strong})
	e.Elect(now, false)
	fmt.Println("owner", e.Owner().ID)

	e.Exclude(now, strong.ID)
	e.Elect(now, false)
	fmt.Println("owner", e.Owner().ID)
	fmt.Printf("%.2f of the limits\n", e.Share(now, 0).Limits)
	// Output:
	// owner 10.0.0.3
	// owner 10.0.0.1
	// 0.33 of the limits
}
