// Package bbtini parses INI text strictly: every problem is reported with its
// file and line, unknown and duplicate keys are rejected, and each value is on
// one line.
package bbtini

import (
	"bytes"
	"iter"
)

// Sections yields the sections of a file in order. It reports problems of the
// text to r and continues with the next line. Only one section is held in
// memory at a time.
func Sections(file string, data []byte, r *Report) iter.Seq[*Section] {
	return func(yield func(*Section) bool) {
		sp := splitter{file: file, rest: bytes.TrimPrefix(data, []byte(byteOrderMark)), report: r}
		for {
			block, ok := sp.next()
			if !ok {
				return
			}
			s, ok := block.load(r)
			if ok && !yield(s) {
				return
			}
		}
	}
}

// byteOrderMark is the UTF-8 byte order mark that some editors write at the
// start of a file.
const byteOrderMark = "\ufeff"

// splitter splits text into one block per section.
type splitter struct {
	file   string
	rest   []byte
	line   int
	report *Report
}

// next returns the block of the next section, or false at the end of the text.
func (s *splitter) next() (block, bool) {
	b := block{file: s.file}
	for len(s.rest) > 0 {
		line, rest := cutLine(s.rest)
		trimmed := bytes.TrimSpace(line)
		isHeader := len(trimmed) > 0 && trimmed[0] == '['
		if isHeader && b.headerLine > 0 {
			return b, true
		}
		s.rest = rest
		s.line++
		b.add(s.line, trimmed, isHeader, s.report)
	}
	return b, b.headerLine > 0
}

// cutLine returns the first line of text and the remaining text.
func cutLine(text []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(text, []byte{'\n'})
	return line, rest
}

// isBlankOrComment reports whether a trimmed line is empty or a comment.
func isBlankOrComment(trimmed []byte) bool {
	return len(trimmed) == 0 || trimmed[0] == '#' || trimmed[0] == ';'
}

// isKebab reports whether name is in kebab case.
func isKebab(name []byte) bool {
	for i, c := range name {
		lower := c >= 'a' && c <= 'z'
		digit := c >= '0' && c <= '9'
		dash := c == '-' && i > 0 && i < len(name)-1 && name[i-1] != '-'
		if !lower && !dash && (!digit || i == 0) {
			return false
		}
	}
	return len(name) > 0
}
