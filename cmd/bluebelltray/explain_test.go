package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// logs are lines of two hosts in the format of a log collector, one of them
// truncated.
const logs = `  12.1000 edge-a {"level":"info","ts":"2026-01-04T14:25:10.000Z","msg":"owner chosen","peer":"10.0.0.2"}
  13.0000 edge-a {"level":"info","ts":"2026-01-04T14:25:11.000Z","msg":"request","request":"r-1","status":503,"ms":20,"reason":"no-room","owner":"10.0.0.2","ahead":7}
words of another program
  13.0000 edge-b {"level":"info","ts":"2026-01-04T14:25:11.500Z","msg":"request","request":"r-2","status":200,"ms":90,"waited-ms":4,"dispatches":["i-1 finished"]}
  13.0000 edge-b {"level":"info","ts":"2026-01-04T14:25:11.5
  13.0000 edge-b {"level":"info","ts":"2026-01-04T14:25:12.500Z","msg":"request","request":"r-3","status":500,"ms":90,"waited-ms":9,"dispatches":["i-1 failed","i-2 failed"]}
`

func TestExplainTracesARequest(t *testing.T) {
	var out, progress bytes.Buffer
	c := explainCmd{Request: "r-1"}
	if err := c.explain(&out, &progress, strings.NewReader(logs)); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[0], "owner chosen") || !strings.HasPrefix(lines[1], "> 14:25:11.000 edge-a") {
		t.Errorf("got:\n%s\nwant the change of owner, then the request", out.String())
	}
	if got := progress.String(); !strings.Contains(got, "1 malformed line") {
		t.Errorf("got %q, want the malformed line counted", got)
	}
}

func TestExplainSummarizesRequests(t *testing.T) {
	var out, progress bytes.Buffer
	if err := (&explainCmd{}).explain(&out, &progress, strings.NewReader(logs)); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"3 requests\n",
		"1      endpoint-failed  500     edge-b  i-2\n",
		"1      no-room          503     edge-a  \n",
		"100.0%  9\n",
		"14:25:12 " + strings.Repeat("x", 30) + "\n",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("got:\n%s\nwant %q", out.String(), want)
		}
	}
}

func TestExplainRejectsInputWithoutMatchingLines(t *testing.T) {
	for name, c := range map[string]struct {
		cmd   explainCmd
		input string
		want  string
	}{
		"unknown request": {explainCmd{Request: "r-9"}, logs, `no line of request "r-9"`},
		"no log":          {explainCmd{}, "nothing\n", "no log line"},
	} {
		err := c.cmd.explain(&bytes.Buffer{}, &bytes.Buffer{}, strings.NewReader(c.input))
		var exit *exitError
		if !errors.As(err, &exit) || exit.ExitCode() != exitUnusable || !strings.Contains(fmt.Sprint(err), c.want) {
			t.Errorf("%s: got %v, want %q", name, err, c.want)
		}
	}
}

func TestExplainSkipsOverlongLines(t *testing.T) {
	long := `{"level":"info","msg":"` + strings.Repeat("x", 3<<20) + "\"}\n"
	var out, progress bytes.Buffer
	if err := (&explainCmd{}).explain(&out, &progress, strings.NewReader(long+logs)); err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(out.String(), "3 requests\n") || !strings.Contains(progress.String(), "2 malformed lines") {
		t.Errorf("got %q and %q, want the lines after the long one", out.String(), progress.String())
	}
}
