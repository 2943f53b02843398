package main

import (
	"fmt"
	"slices"
	"strings"
)

// The size of the table of promises, which has one row per property that must
// hold and one column per class of faults.
const (
	promiseCount    = 10
	faultClassCount = 11
)

// requiredCommands are the commands that test.sh must run.
var requiredCommands = []string{"go test -race -count=1 -timeout 15m ./...", "go run ./internal/speccheck", "go run ./internal/proofcheck"}

// check returns the problems of the document, given the source tree.
func (d *document) check(t *tree) []string {
	out := d.checkPromises()
	out = append(out, d.checkEvidence(t)...)
	out = append(out, d.checkRules(t)...)
	for _, s := range requiredCommands {
		if !strings.Contains(t.testScript, s) {
			out = append(out, fmt.Sprintf("test.sh does not run %q", s))
		}
	}
	return out
}

// checkPromises checks the size of the table of promises and that each cell names
// evidence or is open.
func (d *document) checkPromises() []string {
	var out []string
	if len(d.promises) != promiseCount || len(d.faultClasses) != faultClassCount {
		out = append(out, fmt.Sprintf("table of promises has %d rows and %d fault classes, want %d and %d",
			len(d.promises), len(d.faultClasses), promiseCount, faultClassCount))
	}
	for _, row := range d.promises {
		if len(row) != faultClassCount+1 {
			out = append(out, fmt.Sprintf("%s: %d cells, want %d", row[0], len(row)-1, faultClassCount))
		}
		for _, cell := range row[1:] {
			out = append(out, d.checkCell(row[0], cell)...)
		}
	}
	return out
}

// checkCell checks that each key in a cell of the table of promises has evidence.
func (d *document) checkCell(promise, cell string) []string {
	keys := strings.Fields(cell)
	if len(keys) == 0 {
		return []string{promise + ": empty cell"}
	}
	var out []string
	for _, k := range keys {
		if k != openMark && !slices.ContainsFunc(d.evidence, func(row []string) bool { return row[0] == k }) {
			out = append(out, fmt.Sprintf("%s: no evidence %q", promise, k))
		}
	}
	return out
}

// checkEvidence checks that each piece of evidence exists, is named by a cell of
// the table of promises, and names a mutation: the code change that makes it fail,
// or a note that none is on record.
func (d *document) checkEvidence(t *tree) []string {
	var out []string
	for _, row := range d.evidence {
		if len(row) != 3 || row[2] == "" {
			out = append(out, row[0]+": want key, name and mutation")
			continue
		}
		if !t.hasEvidence(row[1]) {
			out = append(out, fmt.Sprintf("%s: %s does not exist", row[0], row[1]))
		}
		if !d.citesKey(row[0]) {
			out = append(out, row[0]+": named by no cell")
		}
	}
	return out
}

// citesKey reports whether a cell of the table of promises names the key.
func (d *document) citesKey(key string) bool {
	for _, row := range d.promises {
		for _, cell := range row[1:] {
			if slices.Contains(strings.Fields(cell), key) {
				return true
			}
		}
	}
	return false
}

// checkRules checks that each search of a mutant has a row in the table of rules
// and that the functions named there exist. A row may say instead that no function
// implements the rule: words without a slash are not checked.
func (d *document) checkRules(t *tree) []string {
	var out []string
	listed := make(map[string]bool)
	for _, row := range d.rules {
		listed[row[0]] = true
		if len(row) != 3 {
			out = append(out, row[0]+": want search, rule and functions")
			continue
		}
		if !t.searches[row[0]] {
			out = append(out, fmt.Sprintf("search %s does not exist", row[0]))
		}
		for _, f := range strings.Fields(strings.ReplaceAll(row[2], "`", "")) {
			if strings.Contains(f, "/") && !t.functions[f] {
				out = append(out, fmt.Sprintf("%s: function %s does not exist", row[0], f))
			}
		}
	}
	for _, m := range t.mutants {
		if !listed[m] {
			out = append(out, fmt.Sprintf("search %s of a mutant has no row among the rules", m))
		}
	}
	return append(out, t.missingInModels...)
}
