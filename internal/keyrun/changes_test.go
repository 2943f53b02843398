package main

import (
	"testing"

	"bluebelltray/core/bbthome"
)

// outcome returns the result of a change under a strategy.
func outcome(t *testing.T, changeName, strategyName string) result {
	t.Helper()
	for _, k := range changeKinds {
		for _, s := range strategies {
			if k.name == changeName && s.name == strategyName {
				return measure(newFleet(8, 1), k, s)
			}
		}
	}
	t.Fatalf("no change %q or strategy %q", changeName, strategyName)
	return result{}
}

func TestCountedFirstAttemptsAreNotRefused(t *testing.T) {
	for _, k := range changeKinds {
		if got := outcome(t, k.name, "counted"); got != (result{}) {
			t.Errorf("%s: got %+v, want none refused", k.name, got)
		}
	}
}

func TestUncountedRefusedOnlyAfterChanges(t *testing.T) {
	if got := outcome(t, "none", "uncounted"); got != (result{}) {
		t.Errorf("no change: got %+v, want none refused", got)
	}
	first := outcome(t, "kill", "uncounted")
	if first.lastRefusal < bbthome.DefaultResendWindow {
		t.Errorf("kill: got the last refusal after %v, want after %v or more", first.lastRefusal, bbthome.DefaultResendWindow)
	}
	if again := outcome(t, "kill", "uncounted"); again != first {
		t.Errorf("got %+v in the second run, want %+v", again, first)
	}
}
