package bbtowner_test

import (
	"fmt"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtowner"
)

func ExamplePlacement() {
	cfg := bbtfleet.NewConfiguration(bbtfleet.NewVersion(7, 1),
		bbtfleet.WithZones(bbtfleet.NewZone("edin-a", "scotland", false), bbtfleet.NewZone("falkirk-a", "scotland", true)),
		bbtfleet.WithEndpoints(bbtfleet.NewEndpoint("llm-1", "edin-a", bbtfleet.ModelEngine, "summary")))
	list := bbtfleet.NewHostList(3, []bbtfleet.Host{
		bbtfleet.NewHost("entry-1", "edin-a", bbtfleet.WithCallerAddr("10.0.0.1:8080")),
		bbtfleet.NewHost("entry-2", "falkirk-a", bbtfleet.WithCallerAddr("10.0.0.2:8080")),
		bbtfleet.NewHost("entry-3", "edin-a", bbtfleet.WithCallerAddr("10.0.0.3:8080"), bbtfleet.WithHostState(bbtfleet.HostLeaving)),
	})
	m := bbtowner.NewPlacement(cfg, list)
	fmt.Println(len(m.Ranks("llm-1")), m.Addresses("kerb-desk"))
	// Output: 2 [10.0.0.1:8080]
}
