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

func ExampleAgent() {
	only := func(hosts []bbtfleet.HostID, _ uint64) bbtfleet.HostID { return hosts[0] }
	a := bbtsuspect.NewAgent("edin-1", 1, only)
	now := time.Unix(0, 0)
	a.Step(now, bbtsuspect.HostsChanged{Hosts: []bbtfleet.HostID{"edin-1"}})

	now = now.Add(bbtsuspect.UnsettledTime)
	f := bbtsuspect.Of("kitchen", "/summary", []byte("crashes"))
	fmt.Printf("%+v\n", a.Step(now, bbtsuspect.Ask{Call: 1, Fingerprint: f})[0])
	a.Step(now, bbtsuspect.Begin{Call: 1, Endpoint: "llm-1"})
	a.Step(now, bbtsuspect.Died{Crash: bbtsuspect.Crash{Endpoint: "llm-1", Incarnation: 1}})
	fmt.Printf("%+v\n", a.Step(now, bbtsuspect.Ask{Call: 2, Fingerprint: f})[0])
	// Output:
	// {Call:1 Treatment:free}
	// {Call:2 Treatment:alone}
}
