package bbtsuspect_test

import (
	"fmt"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtsuspect"
)

func ExampleGuard() {
	var s bbtsuspect.Suspicions
	g := bbtsuspect.NewGuard(&s)
	now := time.Unix(0, 0)
	f := bbtsuspect.Of("kitchen", "/summary", []byte("crashes"))
	for id := uint64(1); id <= 3; id++ {
		c := bbtsuspect.Copy{Host: "edin-1", ID: id}
		fmt.Println(g.Claim(now, bbtsuspect.Claim{Fingerprint: f, Copy: c}).Treatment)
		died := bbtsuspect.Crash{Endpoint: "llm-1", Incarnation: bbtfleet.Incarnation(id)}
		g.Release(now, bbtsuspect.Release{Fingerprint: f, Copy: c, Crash: &died})
	}
	// Output:
	// free
	// alone
	// banned
}
