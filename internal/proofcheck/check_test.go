package main

import (
	"strings"
	"testing"
)

// validFixture returns a document and a source tree without problems.
func validFixture() (*document, *tree) {
	d := &document{faultClasses: make([]string, faultClassCount)}
	for range promiseCount {
		row := []string{"p"}
		for range faultClassCount {
			row = append(row, "A1")
		}
		d.promises = append(d.promises, row)
	}
	d.evidence = [][]string{{"A1", "core/x.TestX", "rule removed"}}
	d.rules = [][]string{{"m-rule", "rule", "core/x.T.Do"}}
	t := &tree{
		functions:  map[string]bool{"core/x.TestX": true, "core/x.T.Do": true},
		searches:   map[string]bool{"m-rule": true},
		mutants:    []string{"m-rule"},
		testScript: strings.Join(requiredCommands, "\n"),
	}
	return d, t
}

func TestCheckReportsEachProblem(t *testing.T) {
	tests := []struct {
		name    string
		corrupt func(*document, *tree)
		want    string
	}{
		{"unknown key", func(d *document, _ *tree) { d.promises[3][2] = "B9" }, `no evidence "B9"`},
		{"empty cell", func(d *document, _ *tree) { d.promises[3][2] = "" }, "empty cell"},
		{"missing promise", func(d *document, _ *tree) { d.promises = d.promises[1:] }, "table of promises has 9 rows"},
		{"missing test", func(_ *document, t *tree) { delete(t.functions, "core/x.TestX") }, "TestX does not exist"},
		{"no mutation", func(d *document, _ *tree) { d.evidence[0][2] = "" }, "want key, name and mutation"},
		{"unused evidence", func(d *document, _ *tree) {
			d.evidence = append(d.evidence, []string{"A2", "core/x.TestX", "m"})
		}, "A2: named by no cell"},
		{"missing function", func(_ *document, t *tree) { delete(t.functions, "core/x.T.Do") }, "T.Do does not exist"},
		{"missing search", func(_ *document, t *tree) { delete(t.searches, "m-rule") }, "search m-rule does not"},
		{"mutant without a row", func(_ *document, t *tree) { t.mutants = append(t.mutants, "m-new") }, "search m-new of a mutant has no row"},
		{"property missing in model", func(_ *document, t *tree) { t.missingInModels = []string{"no property q"} }, "no property q"},
		{"command not run", func(_ *document, t *tree) { t.testScript = requiredCommands[0] }, "test.sh does not run"},
	}
	d, tr := validFixture()
	if got := d.check(tr); len(got) != 0 {
		t.Fatalf("valid document: got %q, want no problems", got)
	}
	for _, tt := range tests {
		d, tr := validFixture()
		tt.corrupt(d, tr)
		got := strings.Join(d.check(tr), "\n")
		if !strings.Contains(got, tt.want) {
			t.Errorf("%s: got %q, want %q", tt.name, got, tt.want)
		}
	}
}

func TestParseDocumentCountsOpenCells(t *testing.T) {
	d := parseDocument("text\n| promise | a | b |\n|---|---|---|\n| once | K1 | open |\n\n" +
		"| key | name | mutation |\n|---|---|---|\n| K1 | `core/x.TestX` | m |\n")
	if total, open := d.countCells(); total != 2 || open != 1 {
		t.Errorf("got %d cells and %d open, want 2 and 1", total, open)
	}
	if got, want := d.evidence[0][1], "core/x.TestX"; got != want {
		t.Errorf("got evidence %q, want %q", got, want)
	}
}
