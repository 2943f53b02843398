package bbtview_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtview"
)

func ExampleView() {
	now := time.Unix(0, 0)
	k := bbtview.New("entry-1", "edin-a", rand.New(rand.NewPCG(1, 1)), bbtview.WithParsers(parseManifest, parse))
	k.Start(now)
	k.HostListRead(now, bbtfleet.NewHostList(1, []bbtfleet.Host{bbtfleet.NewHost("entry-1", "edin-a")}))

	p := publish(7, "[zone edin-a]")
	for _, a := range k.ManifestRead(now, now, bbtfleet.NewValue(1, p.manifest), false) {
		if r, ok := a.(bbtview.ReadPart); ok {
			for _, a := range k.PartRead(now, r.Key, bbtfleet.NewValue(1, p.parts[r.Key])) {
				fmt.Printf("%T\n", a)
			}
		}
	}
	fmt.Println(k.Version().Revision(), k.Fresh(now))
	// Output:
	// bbtview.ConfigurationApplied
	// bbtview.Serve
	// 7 true
}
