package bbtini

import (
	"cmp"
	"slices"
)

// MaxProblems is the maximum number of problems that a Report holds. Further
// problems are only counted, to limit memory for files with very many problems.
const MaxProblems = 1000

// Report collects problems. The zero value is empty and ready to use.
type Report struct {
	problems []Problem
	dropped  int
}

// Add records a problem.
func (r *Report) Add(p Problem) {
	if len(r.problems) == MaxProblems {
		r.dropped++
		return
	}
	r.problems = append(r.problems, p)
}

// Merge adds the problems of another report.
func (r *Report) Merge(other *Report) {
	for _, p := range other.problems {
		r.Add(p)
	}
	r.dropped += other.dropped
}

// Err returns an *Error with the problems ordered by file and line, or nil if
// there are none. Problems of one line keep the order in which they were added.
func (r *Report) Err() error {
	if len(r.problems) == 0 {
		return nil
	}
	sorted := slices.Clone(r.problems)
	slices.SortStableFunc(sorted, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.file, b.file), cmp.Compare(a.line, b.line))
	})
	return &Error{problems: sorted, dropped: r.dropped}
}
