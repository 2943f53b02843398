package bbtsuspect_test

import (
	"fmt"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtsuspect"
)

func ExampleCoordinator() {
	var s bbtsuspect.Suspects
	coordinator := bbtsuspect.NewCoordinator(&s)
	now := time.Unix(0, 0)
	f := bbtsuspect.NewFingerprint("kitchen", "/summary", []byte("crashes"))
	for id := uint64(1); id <= 3; id++ {
		attempt := bbtsuspect.Attempt{Host: "edin-1", ID: id}
		fmt.Println(coordinator.Claim(now, bbtsuspect.Claim{Fingerprint: f, Attempt: attempt}).DispatchMode)
		crash := bbtsuspect.Crash{Endpoint: "llm-1", Incarnation: bbtfleet.Incarnation(id)}
		coordinator.Release(now, bbtsuspect.Release{Fingerprint: f, Attempt: attempt, Crash: &crash})
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

	now = now.Add(bbtsuspect.SettlingTime)
	f := bbtsuspect.NewFingerprint("kitchen", "/summary", []byte("crashes"))
	fmt.Printf("%+v\n", a.Step(now, bbtsuspect.AdmissionRequested{Call: 1, Fingerprint: f})[0])
	a.Step(now, bbtsuspect.DispatchStarted{Call: 1, Endpoint: "llm-1"})
	a.Step(now, bbtsuspect.EndpointCrashed{Crash: bbtsuspect.Crash{Endpoint: "llm-1", Incarnation: 1}})
	fmt.Printf("%+v\n", a.Step(now, bbtsuspect.AdmissionRequested{Call: 2, Fingerprint: f})[0])
	// Output:
	// {Call:1 DispatchMode:free}
	// {Call:2 DispatchMode:alone}
}
