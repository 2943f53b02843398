package main

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// result is what a verifier reports of one search.
type result struct {
	states  int
	depth   int
	errors  int
	message string // the first error
	cut     string // why the search is not exhaustive; empty if it is
}

var (
	statesLine  = regexp.MustCompile(`(?m)^\s*(\d+) states, stored`)
	depthLine   = regexp.MustCompile(`depth reached (\d+), errors: (\d+)`)
	errorLine   = regexp.MustCompile(`(?m)^pan:\d+: (.+)$`)
	unreachLine = regexp.MustCompile(`(?m)^\s+\S+\.pml:\d+, state \d+, "[^-]`)
)

// cutMarks are the reports of a search that did not visit every state.
var cutMarks = []string{
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
		return result{}, errors.Newf("the verifier gave no counts:\n%s", report)
	}
	var r result
	r.states, _ = strconv.Atoi(states[1])
	r.depth, _ = strconv.Atoi(depth[1])
	r.errors, _ = strconv.Atoi(depth[2])
	if m := errorLine.FindStringSubmatch(report); m != nil {
		r.message = m[1]
	}
	for _, mark := range cutMarks {
		if strings.Contains(report, mark) {
			r.cut = mark
			break
		}
	}
	return r, nil
}

// unreached counts the model's statements that the search never ran.
func unreached(report string) int {
	return len(unreachLine.FindAllString(report, -1))
}

// verdict judges a search's result; a nil error is the expected outcome.
func (s search) verdict(r result) error {
	if s.mutant != "" {
		return s.mutantVerdict(r)
	}
	switch {
	case r.errors > 0:
		return errors.Newf("property fails: %s", r.message)
	case r.cut != "":
		return errors.Newf("search cut short: %s", r.cut)
	}
	return nil
}

// mutantVerdict judges a mutant, which has to break just its property.
func (s search) mutantVerdict(r result) error {
	want := "assertion violated " + identifier(s.properties[0])
	if s.kind == liveness {
		want = "acceptance cycle"
	}
	switch {
	case r.errors == 0 && r.cut != "":
		return errors.Newf("search cut short: %s", r.cut)
	case r.errors == 0:
		return errors.Newf("mutant passes")
	case !strings.Contains(r.message, want):
		return errors.Newf("mutant breaks something else: %s", r.message)
	}
	return nil
}
