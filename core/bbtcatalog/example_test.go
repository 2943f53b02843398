package bbtcatalog_test

import (
	"fmt"

	"bluebelltray/core/bbtcatalog"
)

func ExampleIndex_Route() {
	ix := bbtcatalog.NewIndex(&bbtcatalog.Config{Routes: []bbtcatalog.Route{
		{Name: "letters", Domain: "salons.example", Prefix: "/letters/", Kind: bbtcatalog.Streaming, Resumable: true},
	}})
	r := ix.Route("salons.example", "/letters/17")
	fmt.Println(r.Name, r.Retryable())
	// Output: letters true
}

func ExampleCatalog() {
	var cat bbtcatalog.Catalog
	cat.Apply(start, bbtcatalog.Update{Revision: 2, Changes: []bbtcatalog.Change{
		{Revision: 1, Config: &bbtcatalog.Config{Version: 3}},
		{Revision: 2, Endpoint: &bbtcatalog.Endpoint{ID: "tracking-1"}},
	}})
	fmt.Println(cat.Index().Version(), cat.Endpoints(start)[0].Endpoint.ID, len(cat.UpdateSince(bbtcatalog.Position{Revision: 1}, 3).Changes))
	// Output: 3 tracking-1 1
}
