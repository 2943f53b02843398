package bbtowner_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtowner"
)

func ExampleMap() {
	cfg := bbtfleet.NewConfiguration(bbtfleet.NewVersion(7, 1),
		bbtfleet.WithZones(bbtfleet.NewZone("edin-a", "scotland", false), bbtfleet.NewZone("falkirk-a", "scotland", true)),
		bbtfleet.WithEndpoints(bbtfleet.NewEndpoint("llm-1", "edin-a", bbtfleet.ModelEngine, "summary")))
	list := bbtfleet.NewHostList(3, []bbtfleet.Host{
		bbtfleet.NewHost("entry-1", "edin-a", bbtfleet.WithCallerAddr("10.0.0.1:8080")),
		bbtfleet.NewHost("entry-2", "falkirk-a", bbtfleet.WithCallerAddr("10.0.0.2:8080")),
		bbtfleet.NewHost("entry-3", "edin-a", bbtfleet.WithCallerAddr("10.0.0.3:8080"), bbtfleet.WithHostState(bbtfleet.HostLeaving)),
	})
	m := bbtowner.NewMap(cfg, list)
	fmt.Println(len(m.Ranks("llm-1")), m.Addresses("kerb-desk"))
	// Output: 2 [10.0.0.1:8080]
}

func ExampleElector() {
	cfg := bbtfleet.NewConfiguration(bbtfleet.NewVersion(7, 1),
		bbtfleet.WithEndpoints(bbtfleet.NewEndpoint("llm-1", "edin-a", bbtfleet.ModelEngine, "summary")))
	list := bbtfleet.NewHostList(3, []bbtfleet.Host{bbtfleet.NewHost("entry-1", "edin-a")})
	now := time.Unix(0, 0)
	e := bbtowner.NewElector("entry-1", now, rand.New(rand.NewPCG(1, 1)))
	e.SetMap(now, bbtowner.NewMap(cfg, list))
	for range 30 { // a single host needs nobody else's vote
		now = now.Add(bbtowner.TickInterval)
		for _, a := range e.Tick(now) {
			if a, ok := a.(bbtowner.Acquired); ok {
				fmt.Println(a.Endpoint, "after", now.Sub(time.Unix(0, 0)))
			}
		}
	}
	fence, ok := e.Fence(now, "llm-1")
	fmt.Println(ok, fence.Epoch())
	// Output:
	// llm-1 after 5s
	// true 1
}
