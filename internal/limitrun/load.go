package main

import (
	"math"
	"time"

	"bluebelltray/core/bbtfleet"
)

// The lengths of requests, in tokens: a hundredfold spread around a mean of
// about meanTokens.
const (
	meanTokens = 200
	leastToken = 20
	mostTokens = 2000
	spread     = 1.0 // of the logarithm
)

// choose returns the host that the next request of an account arrives at.
type choose func(f *fleet, id bbtfleet.AccountID) bbtfleet.HostID

// offer starts requests of an account at a rate a second, in a Poisson stream.
func (f *fleet) offer(id bbtfleet.AccountID, perSecond float64, pick choose) {
	f.after(f.gap(perSecond), func() {
		f.submit(pick(f, id), id, f.length())
		f.offer(id, perSecond, pick)
	})
}

// gap returns the time to the next request.
func (f *fleet) gap(perSecond float64) time.Duration {
	return time.Duration(f.rng.ExpFloat64() / perSecond * float64(time.Second))
}

// length returns the number of tokens of a request.
func (f *fleet) length() int {
	median := meanTokens / math.Exp(spread*spread/2)
	n := median * math.Exp(f.rng.NormFloat64()*spread)
	return int(min(max(n, leastToken), mostTokens))
}

// anyHome picks each home of an account alike.
func anyHome(f *fleet, id bbtfleet.AccountID) bbtfleet.HostID {
	homes := f.homes(f.ids[0], id)
	return homes[f.rng.IntN(len(homes))]
}

// nearHome picks one of the first homes alike, as callers do that are given that
// many addresses.
func nearHome(f *fleet, id bbtfleet.AccountID) bbtfleet.HostID {
	const addresses = 3
	homes := f.homes(f.ids[0], id)
	return homes[f.rng.IntN(min(addresses, len(homes)))]
}

// firstHome picks the first home.
func firstHome(f *fleet, id bbtfleet.AccountID) bbtfleet.HostID { return f.homes(f.ids[0], id)[0] }

// anyHost picks each host alike.
func anyHost(f *fleet, _ bbtfleet.AccountID) bbtfleet.HostID { return f.ids[f.rng.IntN(len(f.ids))] }

// mostlyHome picks a home for four requests of five, and else any host.
func mostlyHome(f *fleet, id bbtfleet.AccountID) bbtfleet.HostID {
	const strays = 0.2
	if f.rng.Float64() < strays {
		return anyHost(f, id)
	}
	return anyHome(f, id)
}
