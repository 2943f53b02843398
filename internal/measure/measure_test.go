package main

import (
	"strings"
	"testing"
	"time"
)

// runShort runs a scenario for 20 s of scored time and returns its rows and score.
func runShort(t *testing.T, name, policyName string) (string, *score) {
	t.Helper()
	for _, s := range scenarios {
		for _, p := range policies {
			if s.name == name && p.name == policyName {
				s.length = 20 * time.Second
				w := s.run(p, 1)
				var rows strings.Builder
				w.score.print(&rows, 1)
				return rows.String(), w.score
			}
		}
	}
	t.Fatalf("no scenario %q with policy %q", name, policyName)
	return "", nil
}

func TestSameSeedPrintsTheSameRows(t *testing.T) {
	got, _ := runShort(t, "overload", "grants")
	want, _ := runShort(t, "overload", "grants")
	if got != want {
		t.Errorf("second run differs:\n%s\n%s", got, want)
	}
}

func TestOverloadServesTheTopTier(t *testing.T) {
	_, s := runShort(t, "overload", "grants")
	if top := s.tiers[1]; float64(top.good) < 0.99*float64(top.reachable) {
		t.Errorf("top tier goodput %d of %d reachable, want at least 99%%", top.good, top.reachable)
	}
	all := s.tiers[0]
	if wasted := 1 - float64(all.useful)/float64(all.prefill); wasted > 0.02 {
		t.Errorf("wasted prefill %.4f, want at most 0.02", wasted)
	}
	if all.violations != 0 {
		t.Errorf("%d violations, want 0", all.violations)
	}
}

func TestZoneOutageKeepsTopTierGoodput(t *testing.T) {
	_, s := runShort(t, "zone", "grants")
	if top := s.tiers[1]; float64(top.good) < 0.99*float64(top.reachable) {
		t.Errorf("top tier goodput %d of %d reachable, want at least 99%%", top.good, top.reachable)
	}
	if s.coldViolations != 0 {
		t.Errorf("cold engines overloaded %d times, want 0", s.coldViolations)
	}
}

func TestTwoChoicesOverloadsColdEngines(t *testing.T) {
	if _, s := runShort(t, "zone", "two-choices"); s.coldViolations == 0 {
		t.Error("no overload of a cold engine under a policy without cold-start ramps: the check detects none")
	}
}
