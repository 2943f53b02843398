package main

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// result is the outcome of one search, as reported by the verifier.
type result struct {
	states     int
	depth      int
	errors     int
	message    string // the first error
	truncation string // why the search is not exhaustive; empty if it is exhaustive
}

var (
	statesLine = regexp.MustCompile(`(?m)^\s*(\d+) states, stored`)
	depthLine  = regexp.MustCompile(`depth reached (\d+), errors: (\d+)`)
	errorLine  = regexp.MustCompile(`(?m)^pan:\d+: (.+)$`)
	// unreachedLine does not match the end of a process, which spin reports as "-end-".
	unreachedLine = regexp.MustCompile(`(?m)^\s+\S+\.pml:\d+, state \d+, "[^-]`)
)

// truncationMarkers are the verifier messages that say that the search did not
// visit every state.
var truncationMarkers = []string{
	"max search depth too small",
	"Search not completed",
	"out of memory",
	"reached -DMEMLIM bound",
	"hash conflicts: resize",
	"VECTORSZ too small",
}

// parseResult reads a verifier's report.
func parseResult(report string) (result, error) {
	states := statesLine.FindStringSubmatch(report)
	depth := depthLine.FindStringSubmatch(report)
	if states == nil || depth == nil {
		return result{}, errors.Newf("verifier report has no state and depth counts:\n%s", report)
	}
	var r result
	r.states, _ = strconv.Atoi(states[1])
	r.depth, _ = strconv.Atoi(depth[1])
	r.errors, _ = strconv.Atoi(depth[2])
	if m := errorLine.FindStringSubmatch(report); m != nil {
		r.message = m[1]
	}
	for _, marker := range truncationMarkers {
		if strings.Contains(report, marker) {
			r.truncation = marker
			break
		}
	}
	return r, nil
}

// countUnreached returns the number of model statements that the search never
// executed.
func countUnreached(report string) int {
	return len(unreachedLine.FindAllString(report, -1))
}

// verdict returns an error unless the result is the expected one.
func (s search) verdict(r result) error {
	if s.mutant != "" {
		return s.mutantVerdict(r)
	}
	switch {
	case r.errors > 0:
		return errors.Newf("property fails: %s", r.message)
	case r.truncation != "":
		return errors.Newf("search truncated: %s", r.truncation)
	}
	return nil
}

// mutantVerdict returns an error unless the mutant violates the property that it
// targets, and no other one first.
func (s search) mutantVerdict(r result) error {
	want := "assertion violated " + identifier(s.properties[0])
	if s.kind == liveness {
		want = "acceptance cycle"
	}
	switch {
	case r.errors == 0 && r.truncation != "":
		return errors.Newf("search truncated: %s", r.truncation)
	case r.errors == 0:
		return errors.Newf("mutant passes")
	case !strings.Contains(r.message, want):
		return errors.Newf("mutant violates another property: %s", r.message)
	}
	return nil
}
