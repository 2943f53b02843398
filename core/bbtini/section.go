package bbtini

import (
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Section is one section with a header of the form [kind name] or [kind].
type Section struct {
	block  *block
	kind   string
	name   string
	raw    *ini.Section
	known  []string
	report *Report
}

// newSection returns the section of a block whose header has been vetted.
func newSection(b *block, raw *ini.Section, r *Report) *Section {
	kind, name := cutTitle(raw.Name())
	return &Section{block: b, kind: kind, name: name, raw: raw, report: r}
}

// Kind returns the header's first word.
func (s *Section) Kind() string { return s.kind }

// Name returns what follows the kind, or an empty string.
func (s *Section) Name() string { return s.name }

// File returns the file's name.
func (s *Section) File() string { return s.block.file }

// Line returns the header's line.
func (s *Section) Line() int { return s.block.header }

// LineOf returns the line of a key, or the header's if the key is missing.
func (s *Section) LineOf(key string) int {
	if line := s.block.lineOf(key); line > 0 {
		return line
	}
	return s.block.header
}

// Title returns the kind and the name as in the header.
func (s *Section) Title() string { return strings.TrimSpace(s.kind + " " + s.name) }

// ReportProblem reports a problem of the section as a whole.
func (s *Section) ReportProblem(reason string, opts ...ProblemOption) {
	s.report.Add(NewProblem(s.block.file, s.block.header, reason, append(opts, WithSection(s.Title()))...))
}

// ReportKeyProblem reports a problem of a key at its line.
func (s *Section) ReportKeyProblem(key, reason string, opts ...ProblemOption) {
	opts = append(opts, WithSection(s.Title()), WithKey(key))
	s.report.Add(NewProblem(s.block.file, s.LineOf(key), reason, opts...))
}

// ReportUnknownKeys reports the keys that were never asked for.
func (s *Section) ReportUnknownKeys() {
	for _, k := range s.block.keys {
		if slices.Contains(s.known, k.key) {
			continue
		}
		s.ReportKeyProblem(k.key, "unknown key", WithWant("one of "+strings.Join(slices.Sorted(slices.Values(s.known)), ", ")))
	}
}

// value returns the text of a key and whether the key stands in the section.
func (s *Section) value(key string) (string, bool) {
	s.known = append(s.known, key)
	if s.block.lineOf(key) == 0 {
		return "", false
	}
	return s.raw.Key(key).Value(), true
}
