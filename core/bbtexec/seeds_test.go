package bbtexec_test

import (
	"math/rand/v2"
	"testing"

	"bluebelltray/internal/bbtworld"
)

// run returns the tally of schedules with successive seeds.
func run(t *testing.T, seeds uint64, f bbtworld.Faults) bbtworld.Tally {
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

func TestPromisesHoldUnderEachFault(t *testing.T) {
	for f := bbtworld.Faults(1); f < bbtworld.All; f *= 2 {
		t.Run(f.String(), func(t *testing.T) {
			if got := run(t, 10, f); got.Answers == 0 {
				t.Errorf("got %+v, want some answers", got)
			}
		})
	}
	t.Run("all", func(t *testing.T) { run(t, 60, bbtworld.All) })
}

func TestMayHaveRunOnlyWhereExecutionIsUnknown(t *testing.T) {
	known := []bbtworld.Faults{0, bbtworld.Rejections, bbtworld.Forgetful, bbtworld.Endpoints}
	for _, f := range known {
		t.Run(f.String(), func(t *testing.T) {
			if got := run(t, 10, f); got.Unneeded != 0 || got.FirstRefused != 0 {
				t.Errorf("got %+v, want none unneeded and no first attempt refused", got)
			}
		})
	}
}
