package bbtini

import (
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Section is a section with a header of the form [kind name] or [kind].
type Section struct {
	block   *block
	kind    string
	name    string
	raw     *ini.Section
	queried []string
	report  *Report
}

// newSection returns the section of a block with a valid header.
func newSection(b *block, raw *ini.Section, r *Report) *Section {
	kind, name := splitTitle(raw.Name())
	return &Section{block: b, kind: kind, name: name, raw: raw, report: r}
}

// Kind returns the first word of the header.
func (s *Section) Kind() string { return s.kind }

// Name returns the part of the header after the kind, or an empty string.
func (s *Section) Name() string { return s.name }

// File returns the name of the file.
func (s *Section) File() string { return s.block.file }

// Line returns the line of the header.
func (s *Section) Line() int { return s.block.headerLine }

// LineOf returns the line of a key, or of the header if the key is missing.
func (s *Section) LineOf(key string) int {
	if line := s.block.lineOf(key); line > 0 {
		return line
	}
	return s.block.headerLine
}

// Title returns the kind and name as in the header.
func (s *Section) Title() string { return strings.TrimSpace(s.kind + " " + s.name) }

// ReportProblem reports a problem of the section as a whole.
func (s *Section) ReportProblem(reason string, opts ...ProblemOption) {
	s.report.Add(NewProblem(s.block.file, s.block.headerLine, reason, append(opts, WithSection(s.Title()))...))
}

// ReportKeyProblem reports a problem of a key at its line.
func (s *Section) ReportKeyProblem(key, reason string, opts ...ProblemOption) {
	opts = append(opts, WithSection(s.Title()), WithKey(key))
	s.report.Add(NewProblem(s.block.file, s.LineOf(key), reason, opts...))
}

// ReportUnknownKeys reports the keys that were never queried. It must be called
// after all queries.
func (s *Section) ReportUnknownKeys() {
	for _, k := range s.block.keys {
		if slices.Contains(s.queried, k.key) {
			continue
		}
		s.ReportKeyProblem(k.key, "unknown key", WithWant("one of "+strings.Join(slices.Sorted(slices.Values(s.queried)), ", ")))
	}
}

// value returns the text of a key and whether the section contains the key.
func (s *Section) value(key string) (string, bool) {
	s.queried = append(s.queried, key)
	if s.block.lineOf(key) == 0 {
		return "", false
	}
	return s.raw.Key(key).Value(), true
}
