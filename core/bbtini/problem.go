package bbtini

import (
	"fmt"
	"strings"
)

// Problem is one fault found in INI text.
type Problem struct {
	file    string
	line    int
	section string
	key     string
	value   string
	reason  string
	want    string
}

// ProblemOption sets an optional part of a Problem.
type ProblemOption func(*Problem)

// WithSection names the section the problem stands in.
func WithSection(name string) ProblemOption { return func(p *Problem) { p.section = name } }

// WithKey names the key the problem belongs to.
func WithKey(key string) ProblemOption { return func(p *Problem) { p.key = key } }

// WithValue gives the refused value.
func WithValue(value string) ProblemOption { return func(p *Problem) { p.value = value } }

// WithWant says what would be right.
func WithWant(want string) ProblemOption { return func(p *Problem) { p.want = want } }

// NewProblem returns a problem at a line of a file, counted from one; line zero
// means the file as a whole.
func NewProblem(file string, line int, reason string, opts ...ProblemOption) Problem {
	p := Problem{file: file, line: line, reason: reason}
	for _, opt := range opts {
		opt(&p)
	}
	return p
}

// File returns the file or part that holds the problem.
func (p Problem) File() string { return p.file }

// Line returns the line, counted from one; zero means the file as a whole.
func (p Problem) Line() int { return p.line }

// Section returns the section's name, or an empty string outside any section.
func (p Problem) Section() string { return p.section }

// Key returns the key, or an empty string if the problem is not one key's.
func (p Problem) Key() string { return p.key }

// Value returns the refused value.
func (p Problem) Value() string { return p.value }

// Reason says what is wrong.
func (p Problem) Reason() string { return p.reason }

// Want says what would be right.
func (p Problem) Want() string { return p.want }

// String describes the problem as one line that starts with file:line.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.file)
	if p.line > 0 {
		fmt.Fprintf(&b, ":%d", p.line)
	}
	b.WriteString(": ")
	if p.key != "" {
		b.WriteString(p.key + ": ")
	}
	if p.value != "" {
		fmt.Fprintf(&b, "%q ", p.value)
	}
	b.WriteString(p.reason)
	if p.want != "" {
		b.WriteString("; want " + p.want)
	}
	if p.section != "" {
		fmt.Fprintf(&b, " (in [%s])", p.section)
	}
	return b.String()
}
