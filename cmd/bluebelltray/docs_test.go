package main

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const operatorsPage = "../../docs/OPERATORS.md"

// readFile returns a file's text.
func readFile(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestOperatorsPageShowsSoundSections(t *testing.T) {
	var text strings.Builder
	inSection := false
	for line := range strings.Lines(readFile(t, operatorsPage)) {
		switch {
		case strings.HasPrefix(line, "    [zone"), strings.HasPrefix(line, "    [endpoint"), strings.HasPrefix(line, "    [contract"):
			inSection = true
		case !strings.HasPrefix(line, "    ") && strings.TrimSpace(line) != "":
			inSection = false
		}
		if inSection {
			text.WriteString(line)
		}
	}
	// Its contract names pools that the page does not define.
	text.WriteString("[endpoint routes-1]\nzone = edin-a\nkind = model-engine\naddress = 10.0.0.1:1\npool = routes\nslots = 1\n")
	text.WriteString("[endpoint reports-1]\nzone = edin-a\nkind = model-engine\naddress = 10.0.0.1:2\npool = reports\nslots = 1\n")
	path := filepath.Join(t.TempDir(), "page.ini")
	if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	cmd := checkCmd{Files: []string{path}}
	if err := cmd.check(&out); err != nil {
		t.Errorf("got %v:\n%s", err, &out)
	}
	if want := "1 availability zone, 3 endpoints, 1 contract\n"; !strings.HasPrefix(out.String(), want) {
		t.Errorf("got %q, want prefix %q", &out, want)
	}
}

// counter finds the names of counters and gauges in code.
var counter = regexp.MustCompile(`(?:ounters|ecorder|etrics)\.(?:Add|Set)\("([a-z-]+[a-z])"`)

func TestOperatorsPageNamesEveryCounter(t *testing.T) {
	page := readFile(t, operatorsPage)
	files, err := filepath.Glob("../../io/*/*.go")
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		for _, m := range counter.FindAllStringSubmatch(readFile(t, file), -1) {
			found++
			if !strings.Contains(page, "`"+m[1]+"`") {
				t.Errorf("%s: got no mention of counter %s in docs/OPERATORS.md", filepath.Base(file), m[1])
			}
		}
	}
	if found == 0 {
		t.Error("got no counters in code")
	}
}
