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
	view := bbtview.New("entry-1", "edin-a", rand.New(rand.NewPCG(1, 1)), bbtview.WithParsers(parseManifest, parse))
	view.Start(now)
	view.HostListRead(now, bbtfleet.NewHostList(1, []bbtfleet.Host{bbtfleet.NewHost("entry-1", "edin-a")}))

	p := publish(7, "[zone edin-a]")
	for _, a := range view.ManifestRead(now, now, bbtfleet.NewValue(1, p.manifest), false) {
		if r, ok := a.(bbtview.ReadPart); ok {
			for _, a := range view.PartRead(now, r.Key, bbtfleet.NewValue(1, p.parts[r.Key])) {
				fmt.Printf("%T\n", a)
			}
		}
	}
	fmt.Println(view.Version().Revision(), view.Fresh(now))
	// Output:
	// bbtview.ConfigurationApplied
	// bbtview.Serve
	// 7 true
}
