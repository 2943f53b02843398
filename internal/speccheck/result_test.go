package main

import (
	"strings"
	"testing"
)

const exhaustiveReport = `
State-vector 92 byte, depth reached 564, errors: 0
  2687881 states, stored
`

const violationReport = `
pan:1: assertion violated at_most_once (at depth 12)
State-vector 92 byte, depth reached 13, errors: 1
     1473 states, stored
Warning: Search not completed
`

const truncatedReport = `
error: max search depth too small
State-vector 92 byte, depth reached 99, errors: 0
     1473 states, stored
`

func TestVerdict(t *testing.T) {
	atMostOnce := []string{"at-most-once"}
	tests := []struct {
		name   string
		search search
		report string
		want   string
	}{
		{"property holds", search{properties: atMostOnce}, exhaustiveReport, ""},
		{"property fails", search{properties: atMostOnce}, violationReport, "property fails"},
		{"search truncated", search{properties: atMostOnce}, truncatedReport, "search truncated"},
		{"mutant fails", search{properties: atMostOnce, mutant: "m"}, violationReport, ""},
		{"mutant passes", search{properties: atMostOnce, mutant: "m"}, exhaustiveReport, "mutant passes"},
		{"mutant truncated", search{properties: atMostOnce, mutant: "m"}, truncatedReport, "search truncated"},
		{"mutant violates another", search{properties: []string{"no-revert"}, mutant: "m"}, violationReport, "another property"},
	}
	for _, tt := range tests {
		res, err := parseResult(tt.report)
		if err != nil {
			t.Fatalf("%s: parseResult: %v", tt.name, err)
		}
		got := ""
		if err := tt.search.verdict(res); err != nil {
			got = err.Error()
		}
		if !strings.Contains(got, tt.want) || (tt.want == "" && got != "") {
			t.Errorf("%s: got %q, want %q", tt.name, got, tt.want)
		}
	}
}

func TestParseResultWithoutCounts(t *testing.T) {
	if _, err := parseResult("killed"); err == nil {
		t.Error("got no error, want one for a report without counts")
	}
}
