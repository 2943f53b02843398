package main

import (
	"os"
	"path/filepath"
	"strings"
)

// proofPath is the path of the checked document below the root.
const proofPath = "docs/PROOF.md"

// The tables of the document are told apart by their first header cell.
const (
	promiseHeader  = "promise"
	evidenceHeader = "key"
	ruleHeader     = "search"
)

// openMark marks a cell without evidence.
const openMark = "open"

// document holds the parsed tables of docs/PROOF.md.
type document struct {
	faultClasses []string // header of the table of promises, without the first cell
	promises     [][]string
	evidence     [][]string // key, name of a test or search, mutation
	rules        [][]string // search, rule, functions
}

// loadDocument reads and parses the document below root.
func loadDocument(root string) (*document, error) {
	text, err := os.ReadFile(filepath.Join(root, proofPath))
	if err != nil {
		return nil, err
	}
	return parseDocument(string(text)), nil
}

// parseDocument parses the tables in the text.
func parseDocument(text string) *document {
	d := &document{}
	header := ""
	for _, line := range strings.Split(text, "\n") {
		row, ok := tableRow(line)
		switch {
		case !ok:
			header = ""
		case header == "":
			header = row[0]
			if header == promiseHeader {
				d.faultClasses = row[1:]
			}
		case strings.HasPrefix(row[0], "--"):
		default:
			d.addRow(header, row)
		}
	}
	return d
}

// addRow adds a row to the table that the header names. Rows of other tables are
// ignored.
func (d *document) addRow(header string, row []string) {
	switch header {
	case promiseHeader:
		d.promises = append(d.promises, row)
	case evidenceHeader:
		d.evidence = append(d.evidence, row)
	case ruleHeader:
		d.rules = append(d.rules, row)
	}
}

// countCells returns the number of cells in the table of promises and how many of
// them are open.
func (d *document) countCells() (total, open int) {
	for _, row := range d.promises {
		for _, cell := range row[1:] {
			total++
			if strings.Contains(cell, openMark) {
				open++
			}
		}
	}
	return total, open
}

// tableRow returns the cells of a line that is a table row.
func tableRow(line string) ([]string, bool) {
	line = strings.TrimSpace(line)
	if !strings.HasPrefix(line, "|") {
		return nil, false
	}
	cells := strings.Split(strings.Trim(line, "|"), "|")
	for i, c := range cells {
		cells[i] = strings.Trim(strings.TrimSpace(c), "`")
	}
	return cells, true
}
