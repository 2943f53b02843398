package bbtini_test

import (
	"fmt"
	"strings"
	"testing"

	"bluebelltray/core/bbtini"
)

// read returns the titles of the sections, each followed by the value of its
// key a, and all problems.
func read(data []byte) (titles []string, problems []bbtini.Problem) {
	var r bbtini.Report
	for s := range bbtini.Sections("f", data, &r) {
		a, _ := bbtini.Optional(s, "a", "", func(text string) (string, error) { return text, nil })
		titles = append(titles, s.Title()+"="+a)
		s.ReportUnknownKeys()
	}
	if err, ok := r.Err().(*bbtini.Error); ok {
		problems = err.Problems()
	}
	return titles, problems
}

func TestSyntaxProblems(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"valid", "\ufeff# x\n[k n] ; c\na = 1 # c\r\n\n[k]\na=", ""},
		{"no delimiter", "[k]\n\nnonsense", `f:3: "nonsense" has no =; want key = value`},
		{"colon delimiter", "[k]\na: 1", `f:2: "a: 1" has no =; want key = value`},
		{"empty key", "[k]\n= 1", "f:2: is not a valid key; want lower case letters, digits and single dashes between them"},
		{"key in capitals", "[k]\nA = 1", `f:2: "A" is not a valid key; want lower case letters, digits and single dashes between them`},
		{"key with underscore", "[k]\na_b = 1", `f:2: "a_b" is not a valid key; want lower case letters, digits and single dashes between them`},
		{"auto-increment key", "[k]\n- = 1", `f:2: "-" is not a valid key; want lower case letters, digits and single dashes between them`},
		{"two dashes", "[k]\na--b = 1", `f:2: "a--b" is not a valid key; want lower case letters, digits and single dashes between them`},
		{"quoted key", "[k]\n\"a\" = 1", `f:2: "\"a\"" is not a valid key; want lower case letters, digits and single dashes between them`},
		{"key before sections", "a = 1\n[k]", "f:1: a: key precedes the first section; want a section header such as [manifest] above it"},
		{"duplicate key", "[k]\na = 1\n# c\na = 1", `f:4: a: "1" is a second definition of the key; want one line for each key; the first is line 2`},
		{"unknown key", "[k]\na = 1\nb = 2", "f:3: b: unknown key; want one of a (in [k])"},
		{"multi-line value", "[k]\na = \"\"\"x\ny\"\"\"", "f:2: a: \"\\\"\\\"\\\"x\" is quoted as a multi-line value, which is not supported; want the plain value on one line\nf:3: \"y\\\"\\\"\\\"\" has no =; want key = value"},
		{"multi-line raw value", "[k]\na = `x\n[l]", "f:2: a: \"`x\" is quoted as a multi-line value, which is not supported; want the plain value on one line"},
		{"unclosed header", "[k\na = 1", `f:1: "[k" has no closing bracket; want [kind] or [kind name], the name of at most 64 letters, digits, dots, dashes and underscores`},
		{"text after header", "[k] a = 1", "f:1: \"[k] a = 1\" has text after the closing bracket; want the header alone on its line"},
		{"empty header", "[]", `f:1: "[]" is not a section header; want [kind] or [kind name], the name of at most 64 letters, digits, dots, dashes and underscores`},
		{"default section", "[DEFAULT]\na = 1", `f:1: "[DEFAULT]" is not a section header; want [kind] or [kind name], the name of at most 64 letters, digits, dots, dashes and underscores`},
		{"name with space", "[k a b]", `f:1: "[k a b]" is not a section header; want [kind] or [kind name], the name of at most 64 letters, digits, dots, dashes and underscores`},
		{"name too long", "[k " + strings.Repeat("x", 65) + "]", `f:1: "[k ` + strings.Repeat("x", 65) + `]" is not a section header; want [kind] or [kind name], the name of at most 64 letters, digits, dots, dashes and underscores`},
		{"not UTF-8", "[k]\na = \xff", "f:2: line is not UTF-8 text; want UTF-8"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, problems := read([]byte(tt.text))
			var got []string
			for _, p := range problems {
				got = append(got, p.String())
			}
			if strings.Join(got, "\n") != tt.want {
				t.Errorf("got  %s\nwant %s", strings.Join(got, "\n"), tt.want)
			}
		})
	}
}

func TestAllProblemsAreReported(t *testing.T) {
	titles, problems := read([]byte("x\n[k 1]\ny\nA = 1\n[k\nz\n[k 2]\nb = 1\na = 1;#2 ; c\n"))
	if got, want := strings.Join(titles, ","), "k 1=,k 2=1;#2"; got != want {
		t.Errorf("got sections %s, want %s", got, want)
	}
	var lines []int
	for _, p := range problems {
		lines = append(lines, p.Line())
	}
	want := []int{1, 3, 4, 5, 6, 8}
	if len(lines) != len(want) {
		t.Fatalf("got problems on lines %v, want %v", lines, want)
	}
	for i := range want {
		if lines[i] != want[i] {
			t.Errorf("got problems on lines %v, want %v", lines, want)
		}
	}
}

func TestProblemsAreLimited(t *testing.T) {
	keys := "[k]\n"
	for i := range 40 {
		keys += fmt.Sprintf("k%d = 1\n", i)
	}
	var r bbtini.Report
	sections := 0
	for range bbtini.Sections("f", []byte(keys+strings.Repeat("x\n", 2*bbtini.MaxProblems)), &r) {
		sections++
	}
	if sections != 1 {
		t.Errorf("got %d sections, want 1", sections)
	}
	err, ok := r.Err().(*bbtini.Error)
	if !ok {
		t.Fatalf("got %v, want problems", r.Err())
	}
	if got, want := err.Problems()[0].String(), "f:34: k32: section has too many keys; want at most 32 keys"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if got, want := len(err.Problems()), bbtini.MaxProblems; got != want {
		t.Errorf("got %d problems, want %d", got, want)
	}
	if got, want := err.Dropped(), 8+bbtini.MaxProblems; got != want {
		t.Errorf("got %d problems dropped, want %d", got, want)
	}
}

// FuzzSections checks that no input causes a panic, that each problem refers to
// a line of the text, and that valid text yields a section for each header.
func FuzzSections(f *testing.F) {
	f.Add([]byte("\ufeff[manifest]\nrevision = 1\n\n[part zones] # c\ndigest = 0\n"))
	f.Add([]byte("a = 1\n[k\n[k] x\na = `\n[]\n= 1\n\"a\" = 1\na = \"\"\"\n"))
	f.Add([]byte("[k]\r\na = 1 ; c\r\na=\xff\r\n[k a b]\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		titles, problems := read(data)
		lines := strings.Count(string(data), "\n") + 1
		for _, p := range problems {
			if p.Line() < 1 || p.Line() > lines {
				t.Errorf("got a problem on line %d of %d: %v", p.Line(), lines, p)
			}
		}
		headers := 0
		for line := range strings.Lines(strings.TrimPrefix(string(data), "\ufeff")) {
			if strings.HasPrefix(strings.TrimSpace(line), "[") {
				headers++
			}
		}
		if len(problems) == 0 && len(titles) != headers {
			t.Errorf("got %d sections for %d headers and no problem", len(titles), headers)
		}
	})
}
