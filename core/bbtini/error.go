package bbtini

import (
	"fmt"
	"strings"
)

// shownProblems is how many problems the text of an Error names.
const shownProblems = 10

// Error holds the problems found in one or more files, in order of file and
// line.
type Error struct {
	problems []Problem
	dropped  int
}

// Problems returns the problems, which must not be changed.
func (e *Error) Problems() []Problem { return e.problems }

// Dropped returns the number of problems beyond MaxProblems.
func (e *Error) Dropped() int { return e.dropped }

// Error lists the first problems, one a line, and the number of the others.
func (e *Error) Error() string {
	shown := e.problems[:min(len(e.problems), shownProblems)]
	lines := make([]string, 0, len(shown)+1)
	for _, p := range shown {
		lines = append(lines, p.String())
	}
	if rest := len(e.problems) - len(shown) + e.dropped; rest > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", rest))
	}
	return strings.Join(lines, "\n")
}
