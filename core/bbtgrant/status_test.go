package bbtgrant_test

import (
	"fmt"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
)

func ExampleOwner_Endpoints() {
	now := time.Unix(0, 0)
	o := bbtgrant.New()
	o.SetEndpoints(now, []bbtfleet.Endpoint{bbtfleet.NewEndpoint("llm-1", "edin-a", bbtfleet.ModelEngine, "summary", bbtfleet.WithSlots(8))})
	for _, e := range o.Endpoints(now) {
		fmt.Println(e.Endpoint(), e.Cold(), e.Outstanding())
	}
	for _, p := range o.Pools() {
		fmt.Println(p.Pool(), p.Waiting())
	}
	// Output:
	// llm-1 true 0
	// summary 0
}
