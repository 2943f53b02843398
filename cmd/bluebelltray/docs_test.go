package main

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"bluebelltray/core/bbtschedule"
)

const operatorsPage = "../../docs/OPERATORS.md"

func readFile(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestOperatorsPageShowsValidSections(t *testing.T) {
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
	// The contract on the page refers to pools that the page does not define.
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

// counterName matches a counter's name in the first column of the table of
// counters.
var counterName = regexp.MustCompile("`([a-z]+(?:-[a-z]+)*)(-[A-Z]+)?`")

func TestCodeHasEveryCounterOfTheOperatorsPage(t *testing.T) {
	_, table, found := strings.Cut(readFile(t, operatorsPage), "\n## Counters\n")
	if !found {
		t.Fatal("got no section on counters")
	}
	var code strings.Builder
	for _, pattern := range []string{"../../io/*/*.go", "*.go"} {
		files, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			if !strings.HasSuffix(file, "_test.go") {
				code.WriteString(readFile(t, file))
			}
		}
	}
	names := 0
	for line := range strings.Lines(table) {
		if !strings.HasPrefix(line, "| ") {
			continue
		}
		for _, m := range counterName.FindAllStringSubmatch(strings.Split(line, "|")[1], -1) {
			names++
			want := `"` + m[1] + `"`
			if m[2] != "" {
				want = `"` + m[1] + `-"` // the code appends the state or outcome
			}
			if !strings.Contains(code.String(), want) {
				t.Errorf("got counter %s%s in docs/OPERATORS.md, not in code", m[1], m[2])
			}
		}
	}
	if names == 0 {
		t.Error("got no counters in the table of counters")
	}
}

// retryableOutcomes are the outcomes after which a request may be dispatched
// again.
var retryableOutcomes = []bbtschedule.Outcome{
	bbtschedule.Rejected, bbtschedule.Unreachable, bbtschedule.Failed, bbtschedule.ConnectionLost, bbtschedule.IdleTimeout,
}

func TestPagesNameEveryOutcomeOfADispatch(t *testing.T) {
	operations := readFile(t, "../../docs/OPERATIONS.md")
	for o := bbtschedule.Finished; o <= bbtschedule.IdleTimeout; o++ {
		if !strings.Contains(operations, "`"+o.String()+"`") {
			t.Errorf("got no outcome %s in docs/OPERATIONS.md", o)
		}
	}
	var row string
	for line := range strings.Lines(readFile(t, operatorsPage)) {
		if strings.HasPrefix(line, "| `dispatches-repeated-OUTCOME`") {
			row = line
		}
	}
	for _, o := range retryableOutcomes {
		if !strings.Contains(row, "`"+o.String()+"`") {
			t.Errorf("got no outcome %s in the row on repeated dispatches of docs/OPERATORS.md", o)
		}
	}
}

// counterUpdate matches an update of a counter or gauge in code.
var counterUpdate = regexp.MustCompile(`(?:ounters|ecorder|etrics)\.(?:Add|Set)\("([a-z-]+[a-z])"`)

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
		for _, m := range counterUpdate.FindAllStringSubmatch(readFile(t, file), -1) {
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
