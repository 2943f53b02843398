package main

import (
	"fmt"
	"time"

	"bluebelltray/core/bbtfleet"
)

// scenario is a measurement with a name.
type scenario struct {
	name string
	run  func(seed uint64) row
}

// scenarios holds all scenarios in the order of their rows.
var scenarios = []scenario{
	{"even", func(seed uint64) row { return largeAccount("even", seed, anyHome, 0) }},
	{"three-homes", func(seed uint64) row { return largeAccount("three-homes", seed, anyOfThreeHomes, 0) }},
	{"skewed", func(seed uint64) row { return largeAccount("skewed", seed, firstHome, 0) }},
	{"strangers", func(seed uint64) row { return largeAccount("strangers", seed, anyHost, 0) }},
	{"lossy", func(seed uint64) row { return largeAccount("lossy", seed, mostlyHome, 0.05) }},
	{"small-strangers", smallAccountsAtAnyHost},
	{"partition", partition},
	{"home-death", homeDeath},
	{"today", currentScale},
	{"target", targetScale},
}

// The parameters that scenarios share.
const (
	runTime        = time.Minute
	overloadFactor = 1.5             // offered rate relative to the contract rate
	largeRequests  = 200.0           // contract rate of the large account, in requests per second
	detectionTime  = 2 * time.Second // until hosts detect that others are unreachable
)

// newContract returns a contract for perSecond requests of mean length, with bursts
// of two seconds of the rate.
func newContract(name string, perSecond float64) bbtfleet.Contract {
	const burstSeconds = 2
	requests := 2 * perSecond // so that only the token rate limits
	tokens := meanTokens * perSecond
	return bbtfleet.NewContract(bbtfleet.AccountID(name), 1,
		bbtfleet.WithRequests(bbtfleet.NewRate(requests, max(4, requests*burstSeconds))),
		bbtfleet.WithTokens(bbtfleet.NewRate(tokens, max(maxTokens, tokens*burstSeconds))))
}

// largeAccount measures one large account under overload.
func largeAccount(name string, seed uint64, pick hostPicker, loss float64) row {
	const hosts = 40
	f := newFleet(seed, hosts, newContract("large", largeRequests))
	f.lossRate = loss
	f.generateLoad("large", largeRequests*overloadFactor, pick)
	f.advance(runTime)
	return newRow(name, seed, f, runTime)
}

// smallAccountsAtAnyHost measures small accounts whose requests arrive at any host.
func smallAccountsAtAnyHost(seed uint64) row {
	const hosts, accounts, perSecond = 8, 40, 2.0
	f := smallAccounts(seed, hosts, accounts, perSecond, anyHost)
	f.advance(runTime)
	return newRow("small-strangers", seed, f, runTime)
}

// smallAccounts returns a fleet with overloaded small accounts.
func smallAccounts(seed uint64, hosts, accounts int, perSecond float64, pick hostPicker) *fleet {
	var contracts []bbtfleet.Contract
	for i := range accounts {
		contracts = append(contracts, newContract(fmt.Sprintf("small-%02d", i), perSecond))
	}
	f := newFleet(seed, hosts, contracts...)
	for _, c := range contracts {
		f.generateLoad(c.Account(), perSecond*overloadFactor, pick)
	}
	return f
}

// partition splits the hosts six to four for half of the time, while callers still
// reach every host.
func partition(seed uint64) row {
	const hosts, accounts, perSecond = 10, 40, 2.0
	f := smallAccounts(seed, hosts, accounts, perSecond, anyHost)
	f.advance(runTime / 4)
	for _, id := range f.ids[:4] {
		f.partitionSide[id] = 1
	}
	f.advance(detectionTime)
	f.setViews(f.ids)
	f.advance(runTime/2 - detectionTime)
	clear(f.partitionSide)
	f.advance(detectionTime)
	f.setViews(f.ids)
	f.advance(runTime/4 - detectionTime)
	return newRow("partition", seed, f, runTime)
}

// homeDeath kills a host. The others detect that after detectionTime, and the list
// drops it listLag later. Callers use another host immediately.
func homeDeath(seed uint64) row {
	const hosts, accounts, perSecond = 6, 40, 2.0
	const listLag = 10 * time.Second
	f := smallAccounts(seed, hosts, accounts, perSecond, homeOrLast)
	f.advance(runTime / 4)
	f.hosts[f.ids[0]].dead = true
	f.advance(detectionTime)
	f.setViews(f.ids)
	f.advance(listLag)
	f.setViews(f.ids[1:])
	f.advance(runTime*3/4 - detectionTime - listLag)
	return newRow("home-death", seed, f, runTime)
}

// homeOrLast picks the first home, or the last host if that home is dead.
func homeOrLast(f *fleet, id bbtfleet.AccountID) bbtfleet.HostID {
	last := f.ids[len(f.ids)-1]
	home := f.homeHosts(last, id)[0]
	if f.hosts[home].dead {
		return last
	}
	return home
}

// currentScale measures the fleet's present size: five accounts, two of them large,
// on eight hosts.
func currentScale(seed uint64) row {
	const hosts = 8
	rates := []float64{30, 20, 3, 2, 1}
	return mixedAccounts("today", seed, hosts, rates)
}

// targetScale measures the size that the fleet must support: 19,000 accounts, four
// of them large, on 400 hosts.
func targetScale(seed uint64) row {
	const hosts, accounts, totalRate = 400, 19_000, 2_600.0
	rates := []float64{250, 200, 150, 100}
	rest := totalRate
	for _, r := range rates {
		rest -= r
	}
	for range accounts - len(rates) {
		rates = append(rates, rest/(accounts-4))
	}
	return mixedAccounts("target", seed, hosts, rates)
}

// mixedAccounts loads accounts with 80% of their rates, mostly at their homes.
func mixedAccounts(name string, seed uint64, hosts int, rates []float64) row {
	const load = 0.8
	var contracts []bbtfleet.Contract
	for i, r := range rates {
		contracts = append(contracts, newContract(fmt.Sprintf("account-%05d", i), r))
	}
	f := newFleet(seed, hosts, contracts...)
	for i, c := range contracts {
		f.generateLoad(c.Account(), rates[i]*load, mostlyHome)
	}
	f.advance(runTime)
	return newRow(name, seed, f, runTime)
}
