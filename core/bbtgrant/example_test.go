package bbtgrant_test

import (
	"fmt"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
)

func ExampleOwner() {
	now := time.Unix(0, 0)
	o := bbtgrant.New()
	o.SetEndpoints(now, []bbtfleet.Endpoint{bbtfleet.NewEndpoint("llm-1", "edin-a", bbtfleet.ModelEngine, "summary")})
	r := bbtgrant.Registration{Request: 1, Pool: "summary", Tier: 1, TimeLeft: time.Minute}
	fmt.Println(len(o.Register(now, "entry-1", r)))
	for _, a := range o.ConfirmView(now) {
		g := a.(bbtgrant.Grant)
		fmt.Println(g.To, g.Permit.Endpoint, g.Permit.Expiry)
	}
	// Output:
	// 0
	// entry-1 llm-1 1s
}
