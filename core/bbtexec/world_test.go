package bbtexec_test

import (
	"flag"
	"testing"

	"bluebelltray/internal/bbtworld"
	"pgregory.net/rapid"
)

// chooser draws the random choices of a schedule from rapid, which can then
// shrink a failing schedule.
type chooser struct{ t *rapid.T }

func (c chooser) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(c.t, "choice") }

// setRapidFlags sets rapid's seed and number of checks, so that each run of the
// test is the same.
func setRapidFlags(t *testing.T, checks string) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": checks, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

func TestInvariantsHoldUnderAllFaults(t *testing.T) {
	setRapidFlags(t, "100")
	rapid.Check(t, func(rt *rapid.T) {
		w := bbtworld.New(chooser{rt}, 4, bbtworld.AllFaults)
		w.Run(400)
		w.Quiesce()
		if err := w.Err(); err != nil {
			rt.Fatal(err)
		}
	})
}
