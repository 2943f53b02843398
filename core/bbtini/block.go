package bbtini

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// block is the text of one section. Its lines have been validated, so that the
// INI library reads each line as one header or one key.
type block struct {
	file       string
	headerLine int // line of the header, zero before it is seen
	text       []byte
	keys       []keyLine
}

// maxKeys is the largest number of keys in one section.
const maxKeys = 32

// keyLine is a key and its line number.
type keyLine struct {
	key  string
	line int
}

// options makes the INI library read each line as one complete value.
var options = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
}

// add appends a trimmed line. It skips blank lines and comments, and reports an
// invalid key line to r. The header is validated by load.
func (b *block) add(line int, trimmed []byte, isHeader bool, r *Report) {
	if isHeader {
		b.headerLine = line
		b.appendLine(trimmed)
		return
	}
	if isBlankOrComment(trimmed) {
		return
	}
	p, ok := b.validateKey(line, trimmed)
	if !ok {
		r.Add(p)
		return
	}
	b.appendLine(trimmed)
}

// appendLine appends a valid line to the text for the INI library.
func (b *block) appendLine(trimmed []byte) {
	b.text = append(append(b.text, trimmed...), '\n')
}

// validateKey checks the line of a key and records its line number.
func (b *block) validateKey(line int, trimmed []byte) (Problem, bool) {
	if !utf8.Valid(trimmed) {
		return NewProblem(b.file, line, "line is not UTF-8 text", WithWant("UTF-8")), false
	}
	name, value, found := bytes.Cut(trimmed, []byte{'='})
	name, value = bytes.TrimSpace(name), bytes.TrimSpace(value)
	switch {
	case !found:
		return NewProblem(b.file, line, "has no =", WithValue(string(trimmed)), WithWant("key = value")), false
	case !isKebab(name):
		return NewProblem(b.file, line, "is not a valid key", WithValue(string(name)),
			WithWant("lower case letters, digits and single dashes between them")), false
	case b.headerLine == 0:
		return NewProblem(b.file, line, "key precedes the first section", WithKey(string(name)),
			WithWant("a section header such as [manifest] above it")), false
	case len(value) > 0 && (value[0] == '`' || bytes.HasPrefix(value, []byte(`"""`))):
		return NewProblem(b.file, line, "is quoted as a multi-line value, which is not supported", WithKey(string(name)), WithValue(string(value)),
			WithWant("the plain value on one line")), false
	}
	if first := b.lineOf(string(name)); first > 0 {
		return NewProblem(b.file, line, "is a second definition of the key", WithKey(string(name)),
			WithValue(string(value)),
			WithWant(fmt.Sprintf("one line for each key; the first is line %d", first))), false
	}
	if len(b.keys) == maxKeys {
		return NewProblem(b.file, line, "section has too many keys", WithKey(string(name)),
			WithWant(fmt.Sprintf("at most %d keys", maxKeys))), false
	}
	b.keys = append(b.keys, keyLine{key: string(name), line: line})
	return Problem{}, true
}

// lineOf returns the line of a key, or zero if it is missing.
func (b *block) lineOf(key string) int {
	for _, k := range b.keys {
		if k.key == key {
			return k.line
		}
	}
	return 0
}

// load parses the block with the INI library.
func (b *block) load(r *Report) (*Section, bool) {
	if p, ok := b.validateHeader(); !ok {
		r.Add(p)
		return nil, false
	}
	f, err := ini.LoadSources(options, b.text)
	if err != nil {
		r.Add(NewProblem(b.file, b.headerLine, "section cannot be parsed: "+err.Error(), WithWant(wantHeader)))
		return nil, false
	}
	f.BlockMode = false      // no locks: only one goroutine uses a Section
	sections := f.Sections() // the library's default section first
	return newSection(b, sections[len(sections)-1], r), true
}

// wantHeader describes a valid header.
const wantHeader = "[kind] or [kind name], the name of at most 64 letters, digits, dots, dashes and underscores"

// validateHeader checks that the header has the form [kind name] or [kind].
func (b *block) validateHeader() (Problem, bool) {
	line, _ := cutLine(b.text)
	end := bytes.LastIndexByte(line, ']')
	if end < 0 {
		return NewProblem(b.file, b.headerLine, "has no closing bracket", WithValue(string(line)), WithWant(wantHeader)), false
	}
	kind, name := splitTitle(string(line[1:end]))
	if !isKebab([]byte(kind)) || name != "" && !IsName(name) {
		return NewProblem(b.file, b.headerLine, "is not a section header", WithValue(string(line[:end+1])), WithWant(wantHeader)), false
	}
	if !isBlankOrComment(bytes.TrimSpace(line[end+1:])) {
		return NewProblem(b.file, b.headerLine, "has text after the closing bracket", WithValue(string(line)),
			WithWant("the header alone on its line")), false
	}
	return Problem{}, true
}

// splitTitle returns the kind and the name in the title of a section.
func splitTitle(title string) (kind, name string) {
	kind, name, _ = strings.Cut(title, " ")
	return kind, strings.TrimSpace(name)
}
