package main

import (
	"math"
	"time"

	"bluebelltray/core/bbtfleet"
)

// The distribution of request lengths in tokens: log-normal, clamped to minTokens
// and maxTokens, with a mean of about meanTokens.
const (
	meanTokens  = 200
	minTokens   = 20
	maxTokens   = 2000
	lengthSigma = 1.0 // standard deviation of the logarithm
)

// hostPicker returns the host that receives the next request of an account.
type hostPicker func(f *fleet, id bbtfleet.AccountID) bbtfleet.HostID

// generateLoad submits requests of an account as a Poisson process with the given
// rate.
func (f *fleet) generateLoad(id bbtfleet.AccountID, perSecond float64, pick hostPicker) {
	f.after(f.interarrivalTime(perSecond), func() {
		f.submit(pick(f, id), id, f.requestTokens())
		f.generateLoad(id, perSecond, pick)
	})
}

// interarrivalTime returns a random time until the next request.
func (f *fleet) interarrivalTime(perSecond float64) time.Duration {
	return time.Duration(f.rng.ExpFloat64() / perSecond * float64(time.Second))
}

// requestTokens returns a random request length in tokens.
func (f *fleet) requestTokens() int {
	median := meanTokens / math.Exp(lengthSigma*lengthSigma/2)
	n := median * math.Exp(f.rng.NormFloat64()*lengthSigma)
	return int(min(max(n, minTokens), maxTokens))
}

// anyHome picks a home of the account uniformly at random.
func anyHome(f *fleet, id bbtfleet.AccountID) bbtfleet.HostID {
	homeHosts := f.homeHosts(f.ids[0], id)
	return homeHosts[f.rng.IntN(len(homeHosts))]
}

// anyOfThreeHomes picks one of the account's first three homes uniformly at random,
// like callers that are given that many addresses.
func anyOfThreeHomes(f *fleet, id bbtfleet.AccountID) bbtfleet.HostID {
	const addresses = 3
	homeHosts := f.homeHosts(f.ids[0], id)
	return homeHosts[f.rng.IntN(min(addresses, len(homeHosts)))]
}

func firstHome(f *fleet, id bbtfleet.AccountID) bbtfleet.HostID { return f.homeHosts(f.ids[0], id)[0] }

// anyHost picks a host uniformly at random.
func anyHost(f *fleet, _ bbtfleet.AccountID) bbtfleet.HostID { return f.ids[f.rng.IntN(len(f.ids))] }

// mostlyHome picks a home for 80% of requests and any host for the others.
func mostlyHome(f *fleet, id bbtfleet.AccountID) bbtfleet.HostID {
	const anyHostShare = 0.2
	if f.rng.Float64() < anyHostShare {
		return anyHost(f, id)
	}
	return anyHome(f, id)
}
