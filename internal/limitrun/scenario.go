package main

import (
	"fmt"
	"time"

	"bluebelltray/core/bbtfleet"
)

// scenario is one measurement.
type scenario struct {
	name string
	run  func(seed uint64) row
}

// scenarios holds all measurements in the order of their rows.
var scenarios = []scenario{
	{"even", func(seed uint64) row { return largeAccount("even", seed, anyHome, 0) }},
	{"three-homes", func(seed uint64) row { return largeAccount("three-homes", seed, nearHome, 0) }},
	{"skewed", func(seed uint64) row { return largeAccount("skewed", seed, firstHome, 0) }},
	{"strangers", func(seed uint64) row { return largeAccount("strangers", seed, anyHost, 0) }},
	{"lossy", func(seed uint64) row { return largeAccount("lossy", seed, mostlyHome, 0.05) }},
	{"small-strangers", smallStrangers},
	{"partition", partition},
	{"home-death", homeDeath},
	{"today", today},
	{"target", target},
}

// The loads of the scenarios.
const (
	runTime       = time.Minute
	overload      = 1.5 // offered over allowed
	largeRequests = 200.0
	noticeTime    = 2 * time.Second // until hosts notice that others are out of reach
)

// account returns a contract for perSecond requests of the mean length. Its
// bursts last for two seconds.
func account(name string, perSecond float64) bbtfleet.Contract {
	const burstTime = 2
	requests := 2 * perSecond // tokens are what limits
	tokens := meanTokens * perSecond
	return bbtfleet.NewContract(bbtfleet.AccountID(name), 1,
		bbtfleet.WithRequests(bbtfleet.NewRate(requests, max(4, requests*burstTime))),
		bbtfleet.WithTokens(bbtfleet.NewRate(tokens, max(mostTokens, tokens*burstTime))))
}

// largeAccount offers one large account more than it may send.
func largeAccount(name string, seed uint64, pick choose, loss float64) row {
	const hosts = 40
	f := newFleet(seed, hosts, account("large", largeRequests))
	f.loss = loss
	f.offer("large", largeRequests*overload, pick)
	f.advance(runTime)
	return rowOf(name, seed, f, runTime)
}

// smallStrangers has the callers of small accounts arrive at any host.
func smallStrangers(seed uint64) row {
	const hosts, accounts, perSecond = 8, 40, 2.0
	f := smallAccounts(seed, hosts, accounts, perSecond, anyHost)
	f.advance(runTime)
	return rowOf("small-strangers", seed, f, runTime)
}

// smallAccounts returns a fleet with an overload of small accounts.
func smallAccounts(seed uint64, hosts, accounts int, perSecond float64, pick choose) *fleet {
	var contracts []bbtfleet.Contract
	for i := range accounts {
		contracts = append(contracts, account(fmt.Sprintf("small-%02d", i), perSecond))
	}
	f := newFleet(seed, hosts, contracts...)
	for _, c := range contracts {
		f.offer(c.Account(), perSecond*overload, pick)
	}
	return f
}

// partition parts the hosts three to two for half of the time, while callers
// reach every host.
func partition(seed uint64) row {
	const hosts, accounts, perSecond = 10, 40, 2.0
	f := smallAccounts(seed, hosts, accounts, perSecond, anyHost)
	f.advance(runTime / 4)
	for _, id := range f.ids[:4] {
		f.side[id] = 1
	}
	f.advance(noticeTime)
	f.see(f.ids)
	f.advance(runTime/2 - noticeTime)
	clear(f.side)
	f.advance(noticeTime)
	f.see(f.ids)
	f.advance(runTime/4 - noticeTime)
	return rowOf("partition", seed, f, runTime)
}

// homeDeath kills a host; the others notice after a time, and the list loses it
// later still. Callers go to another host at once.
func homeDeath(seed uint64) row {
	const hosts, accounts, perSecond = 6, 40, 2.0
	const listLag = 10 * time.Second
	f := smallAccounts(seed, hosts, accounts, perSecond, homeOrNext)
	f.advance(runTime / 4)
	f.hosts[f.ids[0]].dead = true
	f.advance(noticeTime)
	f.see(f.ids)
	f.advance(listLag)
	f.see(f.ids[1:])
	f.advance(runTime*3/4 - noticeTime - listLag)
	return rowOf("home-death", seed, f, runTime)
}

// homeOrNext picks the first home, or another host if that one is dead.
func homeOrNext(f *fleet, id bbtfleet.AccountID) bbtfleet.HostID {
	last := f.ids[len(f.ids)-1]
	home := f.homes(last, id)[0]
	if f.hosts[home].dead {
		return last
	}
	return home
}

// today offers five accounts, two of them large, to eight hosts.
func today(seed uint64) row {
	const hosts = 8
	rates := []float64{30, 20, 3, 2, 1}
	return mixed("today", seed, hosts, rates)
}

// target offers 19,000 accounts, four of them large, to 400 hosts.
func target(seed uint64) row {
	const hosts, accounts, whole = 400, 19_000, 2_600.0
	rates := []float64{250, 200, 150, 100}
	rest := whole
	for _, r := range rates {
		rest -= r
	}
	for range accounts - len(rates) {
		rates = append(rates, rest/(accounts-4))
	}
	return mixed("target", seed, hosts, rates)
}

// mixed offers accounts four fifths of their rates, mostly at their homes.
func mixed(name string, seed uint64, hosts int, rates []float64) row {
	const load = 0.8
	var contracts []bbtfleet.Contract
	for i, r := range rates {
		contracts = append(contracts, account(fmt.Sprintf("account-%05d", i), r))
	}
	f := newFleet(seed, hosts, contracts...)
	for i, c := range contracts {
		f.offer(c.Account(), rates[i]*load, mostlyHome)
	}
	f.advance(runTime)
	return rowOf(name, seed, f, runTime)
}
