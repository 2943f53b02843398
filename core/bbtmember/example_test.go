package bbtmember_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtmember"
	"bluebelltray/core/bbtview"
)

func ExampleDetector() {
	now := time.Unix(0, 0)
	list := bbtfleet.NewHostList(1, []bbtfleet.Host{
		bbtfleet.NewHost("entry-1", "edin-a"), bbtfleet.NewHost("entry-2", "edin-a"),
	})
	d := bbtmember.New("entry-1", 1, rand.New(rand.NewPCG(1, 1)))
	d.SetHosts(now, list)
	for range 30 { // entry-2 never answers
		now = now.Add(bbtmember.TickInterval)
		for _, a := range d.Tick(now, bbtview.Digest{}) {
			if c, ok := a.(bbtmember.StateChanged); ok {
				fmt.Println(c.Host, c.State)
			}
		}
	}
	// Output:
	// entry-2 suspect
	// entry-2 dead
}
