package bbtroute_test

import (
	"fmt"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtroute"
)

// A request is registered with the owner of an endpoint, and dispatched under
// the owner's permit.
func ExampleEntry() {
	now := time.Unix(0, 0)
	ep := bbtfleet.NewEndpoint("llm-1", "edin-a", bbtfleet.ModelEngine, "summary")
	entry := bbtroute.New("entry-1", now)
	owner := bbtgrant.New()
	owner.SetEndpoints(now, []bbtfleet.Endpoint{ep})
	owner.ConfirmView(now)
	entry.SetTargets(now, []bbtroute.Target{{Endpoint: ep, Owner: "entry-2"}})

	r := bbtroute.Request{ID: 1, Pool: "summary", Account: "desk", Tier: 1, Deadline: now.Add(time.Minute)}
	for _, a := range entry.Submit(now, r) {
		registration := a.(bbtroute.Send).Message.(bbtgrant.Registration)
		for _, g := range owner.Register(now, "entry-1", registration) {
			for _, a := range entry.Granted(now, "entry-2", g.(bbtgrant.Grant).Permit) {
				fmt.Println(a.(bbtroute.Dispatch).Endpoint)
			}
		}
	}
	// Output: llm-1
}
