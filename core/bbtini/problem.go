package bbtini

import (
	"fmt"
	"strings"
)

// Problem is an error found in INI text.
type Problem struct {
	file    string
	line    int
	section string
	key     string
	value   string
	reason  string
	want    string
}

// ProblemOption sets an optional field of a Problem.
type ProblemOption func(*Problem)

// WithSection sets the section that contains the problem.
func WithSection(name string) ProblemOption { return func(p *Problem) { p.section = name } }

// WithKey sets the key that has the problem.
func WithKey(key string) ProblemOption { return func(p *Problem) { p.key = key } }

// WithValue sets the rejected value.
func WithValue(value string) ProblemOption { return func(p *Problem) { p.value = value } }

// WithWant sets the description of a valid value.
func WithWant(want string) ProblemOption { return func(p *Problem) { p.want = want } }

// NewProblem returns a problem at a line of a file, counted from one. Line zero
// denotes the file as a whole.
func NewProblem(file string, line int, reason string, opts ...ProblemOption) Problem {
	p := Problem{file: file, line: line, reason: reason}
	for _, opt := range opts {
		opt(&p)
	}
	return p
}

// File returns the name of the file, as given to NewProblem.
func (p Problem) File() string { return p.file }

// Line returns the line, counted from one. Zero denotes the file as a whole.
func (p Problem) Line() int { return p.line }

// Section returns the section, or an empty string outside of any section.
func (p Problem) Section() string { return p.section }

// Key returns the key, or an empty string if the problem does not concern a
// single key.
func (p Problem) Key() string { return p.key }

// Value returns the rejected value.
func (p Problem) Value() string { return p.value }

// Reason describes the problem.
func (p Problem) Reason() string { return p.reason }

// Want describes a valid value.
func (p Problem) Want() string { return p.want }

// String formats the problem as one line that starts with file:line.
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
