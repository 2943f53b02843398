package bbtexec_test

import (
	"math/rand/v2"
	"testing"

	"bluebelltray/internal/bbtworld"
)

// runSeeds simulates one schedule with the given faults for each seed below
// seeds and returns the sum of the tallies.
func runSeeds(t *testing.T, seeds uint64, f bbtworld.Faults) bbtworld.Tally {
	t.Helper()
	const steps = 1500
	var sum bbtworld.Tally
	for seed := range seeds {
		w := bbtworld.New(rand.New(rand.NewPCG(seed, uint64(f))), 4, f)
		w.Run(steps)
		w.Quiesce()
		if err := w.Err(); err != nil {
			t.Fatalf("faults %v, seed %d: %v", f, seed, err)
		}
		sum.Add(w.Tally())
	}
	return sum
}

func TestInvariantsHoldUnderEachFault(t *testing.T) {
	for f := bbtworld.Faults(1); f < bbtworld.AllFaults; f *= 2 {
		t.Run(f.String(), func(t *testing.T) {
			if got := runSeeds(t, 10, f); got.Responses == 0 {
				t.Errorf("got %+v, want some responses", got)
			}
		})
	}
	t.Run("all", func(t *testing.T) { runSeeds(t, 60, bbtworld.AllFaults) })
}

// With these faults, hosts and the connections between them do not fail, so that
// the verdict on a request that did not run is always known.
func TestNoMayHaveRunForUnexecutedRequests(t *testing.T) {
	faultSets := []bbtworld.Faults{0, bbtworld.Rejections, bbtworld.ForgetfulCallers, bbtworld.EndpointFailures}
	for _, f := range faultSets {
		t.Run(f.String(), func(t *testing.T) {
			if got := runSeeds(t, 10, f); got.MayHaveRunUnexecuted != 0 || got.FirstRefused != 0 {
				t.Errorf("got %+v, want no may-have-run refusal of an unexecuted request and no first refusal without a ticket", got)
			}
		})
	}
}
