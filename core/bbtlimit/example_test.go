package bbtlimit_test

import (
	"fmt"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtlimit"
)

func ExampleLimiter_Admit() {
	contracts := bbtfleet.NewConfiguration(bbtfleet.Version{}, bbtfleet.WithContracts(
		bbtfleet.NewContract("kerb-desk", 1, bbtfleet.WithRequests(bbtfleet.NewRate(2, 1)))))
	hosts := []bbtfleet.HostID{"entry-1"}
	l := bbtlimit.New("entry-1")
	l.SetContracts(contracts)
	l.SetHosts(hosts, hosts)

	now := time.Unix(0, 0)
	fmt.Println(l.Admit(now, "kerb-desk", 100).Outcome())
	fmt.Println(l.Admit(now, "kerb-desk", 100).Err())
	fmt.Println(l.Admit(now.Add(500*time.Millisecond), "kerb-desk", 100).Outcome())
	// Output:
	// admitted
	// not-run: request-rate
	// admitted
}

func ExampleLimiter_Receive() {
	contracts := bbtfleet.NewConfiguration(bbtfleet.Version{}, bbtfleet.WithContracts(
		bbtfleet.NewContract("kerb-desk", 1, bbtfleet.WithRequests(bbtfleet.NewRate(2, 4)))))
	hosts := []bbtfleet.HostID{"entry-1", "entry-2"}
	home, other := bbtlimit.New("entry-1"), bbtlimit.New("entry-2")
	for _, l := range []*bbtlimit.Limiter{home, other} {
		l.SetContracts(contracts)
		l.SetHosts(hosts, hosts)
	}
	if home.HomeHosts("kerb-desk")[0] == "entry-2" {
		home, other = other, home
	}

	now := time.Unix(0, 0)
	d := other.Admit(now, "kerb-desk", 100)
	fmt.Println(d.Outcome(), len(d.Sends()))
	grants, _ := home.Receive(now, "asker", d.Sends()[0].Message)
	_, accounts := other.Receive(now, d.Sends()[0].To, grants[0].Message)
	fmt.Println(accounts, other.Resume(now, "kerb-desk", 100).Outcome())
	// Output:
	// waiting 1
	// [kerb-desk] admitted
}

func ExampleRetryBudget() {
	var b bbtlimit.RetryBudget
	for range 20 {
		b.RecordAttempt()
	}
	retries := 0
	for range 20 {
		if b.AllowRetry() {
			retries++
		}
	}
	fmt.Println(retries)
	// Output: 3
}
