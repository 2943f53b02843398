package bbtini

import (
	"fmt"
	"strings"
)

// shownProblems is the number of problems in the text of an Error.
const shownProblems = 10

// Error holds the problems found in one or more files, ordered by file and
// line.
type Error struct {
	problems []Problem
	dropped  int
}

// Problems returns the problems. The slice must not be modified.
func (e *Error) Problems() []Problem { return e.problems }

// Dropped returns the number of problems beyond MaxProblems.
func (e *Error) Dropped() int { return e.dropped }

// Error lists the first problems, one per line, and the number of the others.
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
