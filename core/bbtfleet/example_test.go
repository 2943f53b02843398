package bbtfleet_test

import (
	"fmt"

	"bluebelltray/core/bbtfleet"
)

func ExampleConfiguration_InService() {
	c := bbtfleet.NewConfiguration(bbtfleet.NewVersion(7, 1),
		bbtfleet.WithZones(bbtfleet.NewZone("edin-a", "scotland", true)),
		bbtfleet.WithEndpoints(bbtfleet.NewEndpoint("llm-1", "edin-a", bbtfleet.ModelEngine, "summary")),
	)
	fmt.Println(c.InService("llm-1"))
	// Output: false
}

func ExampleVersion_Newer() {
	first := bbtfleet.NewVersion(8, 0x11)
	second := bbtfleet.NewVersion(8, 0x22)
	fmt.Println(second.Newer(first), first.Newer(second))
	// Output: true false
}
