package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"bluebelltray/io/bbtstory"
	"github.com/cockroachdb/errors"
)

// progressIntervalBytes is how many bytes are read between progress reports.
const progressIntervalBytes = 64 << 20

// explainCmd traces a request or summarizes requests from log lines.
type explainCmd struct {
	Files   []string  `arg:"" optional:"" name:"file" type:"existingfile" help:"Log files of all hosts; standard input if there are none."`
	Request string    `help:"Tell the story of the request with this ID, over all hosts in order of time."`
	From    time.Time `help:"Count requests from this time on (RFC 3339)."`
	To      time.Time `help:"Count requests up to this time (RFC 3339)."`
}

// Run reads the log files and prints the trace or the summary.
func (c *explainCmd) Run() error {
	if len(c.Files) == 0 {
		return c.explain(os.Stdout, os.Stderr, os.Stdin)
	}
	var readers []io.Reader
	for _, path := range c.Files {
		f, err := os.Open(path)
		if err != nil {
			return &exitError{code: exitUnusable, err: err}
		}
		defer f.Close()
		readers = append(readers, f)
	}
	return c.explain(os.Stdout, os.Stderr, readers...)
}

// explain reads log lines from the inputs, one after the other. It writes the
// trace or the summary to w and progress reports to progress.
func (c *explainCmd) explain(w, progress io.Writer, inputs ...io.Reader) error {
	trace, summary := bbtstory.NewRequestTrace(c.Request), bbtstory.NewSummary(c.From, c.To)
	malformed, lines := 0, 0
	for _, in := range inputs {
		r := bbtstory.NewReader(in)
		reportedBytes := int64(0)
		for {
			l, err := r.Next()
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				return errors.Wrap(err, "read log")
			}
			lines++
			trace.Add(l)
			summary.Add(l)
			if r.BytesRead()-reportedBytes >= progressIntervalBytes {
				reportedBytes = r.BytesRead()
				fmt.Fprintf(progress, "%d MiB read\n", reportedBytes>>20)
			}
		}
		malformed += r.Malformed()
	}
	if malformed > 0 {
		fmt.Fprintf(progress, "skipped %s\n", pluralize(malformed, "malformed line"))
	}
	if lines == 0 {
		return &exitError{code: exitUnusable, err: errors.New("no log line in the input")}
	}
	if c.Request == "" {
		return summary.Write(w)
	}
	return c.writeTrace(w, trace.Lines())
}

// writeTrace writes the trace of a request and marks the lines that name it.
func (c *explainCmd) writeTrace(w io.Writer, lines []bbtstory.Line) error {
	if len(lines) == 0 {
		return &exitError{code: exitUnusable, err: errors.Newf("no line of request %q in the input", c.Request)}
	}
	for _, l := range lines {
		marker := " "
		if l.Request == c.Request {
			marker = ">"
		}
		if _, err := fmt.Fprintf(w, "%s %s %s %s", marker, l.Time.Format("15:04:05.000"), l.Host, l.Raw); err != nil {
			return err
		}
	}
	return nil
}
