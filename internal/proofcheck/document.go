package main

import (
	"os"
	"path/filepath"
	"strings"
)

// page is the path of the checked page below the root.
const page = "docs/PROOF.md"

// The first header cells of the page's tables.
const (
	promiseHeader  = "promise"
	evidenceHeader = "key"
	ruleHeader     = "search"
)

// openMark marks a cell without evidence.
const openMark = "open"

// document is the tables of the page.
type document struct {
	faults   []string // columns of the table of promises
	promises [][]string
	evidence [][]string // key, test, mutation
	rules    [][]string // search, rule, functions
}

// loadDocument reads the page.
func loadDocument(root string) (*document, error) {
	text, err := os.ReadFile(filepath.Join(root, page))
	if err != nil {
		return nil, err
	}
	return parseDocument(string(text)), nil
}

// parseDocument reads the tables of a page.
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
				d.faults = row[1:]
			}
		case strings.HasPrefix(row[0], "--"):
		default:
			d.add(header, row)
		}
	}
	return d
}

// add files a row under its table's header.
func (d *document) add(header string, row []string) {
	switch header {
	case promiseHeader:
		d.promises = append(d.promises, row)
	case evidenceHeader:
		d.evidence = append(d.evidence, row)
	case ruleHeader:
		d.rules = append(d.rules, row)
	}
}

// cells counts the cells of the table of promises and those that are open.
func (d *document) cells() (all, open int) {
	for _, row := range d.promises {
		for _, cell := range row[1:] {
			all++
			if strings.Contains(cell, openMark) {
				open++
			}
		}
	}
	return all, open
}

// tableRow returns the cells of a table's line.
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
