package bbthome_test

import (
	"fmt"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbthome"
)

func Example() {
	selectFirst := func(hosts []bbtfleet.HostID, _ uint64) bbtfleet.HostID { return hosts[0] }
	h := bbthome.New("edin-1", selectFirst)
	start := time.Unix(0, 0)
	list := bbtfleet.NewHostList(1, []bbtfleet.Host{bbtfleet.NewHost("edin-1", "edin-a")})
	h.Confirm(start, start, bbthome.NewView(list))
	key := bbthome.NewKey("kitchen", 7)

	now := start.Add(time.Minute)
	fmt.Println(h.Decide(now, key, bbthome.First), h.Decide(now, key, bbthome.Uncounted))
	// Output: allowed unsettled
}
