package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"bluebelltray/io/bbtstory"
	"github.com/cockroachdb/errors"
)

// progressEvery is how many bytes are read between two signs of progress.
const progressEvery = 64 << 20

// explainCmd tells from log lines what became of requests.
type explainCmd struct {
	Files   []string  `arg:"" optional:"" name:"file" type:"existingfile" help:"Log files of all hosts; standard input if there are none."`
	Request string    `help:"Tell the story of the request with this ID, over all hosts in order of time."`
	From    time.Time `help:"Count requests from this time on (RFC 3339)."`
	To      time.Time `help:"Count requests up to this time (RFC 3339)."`
}

// Run reads the lines and prints what they tell.
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

// explain reads lines from several inputs, one after the other, and writes what
// they tell to w and progress to progress.
func (c *explainCmd) explain(w, progress io.Writer, inputs ...io.Reader) error {
	story, table := bbtstory.NewRequestTrace(c.Request), bbtstory.NewSummary(c.From, c.To)
	torn, lines := 0, 0
	for _, in := range inputs {
		r := bbtstory.NewReader(in)
		shown := int64(0)
		for {
			l, err := r.Next()
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				return errors.Wrap(err, "read log")
			}
			lines++
			story.Add(l)
			table.Add(l)
			if r.BytesRead()-shown >= progressEvery {
				shown = r.BytesRead()
				fmt.Fprintf(progress, "%d MB read\n", shown>>20)
			}
		}
		torn += r.Malformed()
	}
	if torn > 0 {
		fmt.Fprintf(progress, "%s that cannot be read passed over\n", counted(torn, "torn line"))
	}
	if lines == 0 {
		return &exitError{code: exitUnusable, err: errors.New("no log line in the input")}
	}
	if c.Request == "" {
		return table.Write(w)
	}
	return c.tell(w, story.Lines())
}

// tell writes a request's story.
func (c *explainCmd) tell(w io.Writer, lines []bbtstory.Line) error {
	if len(lines) == 0 {
		return &exitError{code: exitUnusable, err: errors.Newf("no line of request %q in the input", c.Request)}
	}
	for _, l := range lines {
		mark := " "
		if l.Request == c.Request {
			mark = ">"
		}
		if _, err := fmt.Fprintf(w, "%s %s %s %s", mark, l.Time.Format("15:04:05.000"), l.Node, l.Raw); err != nil {
			return err
		}
	}
	return nil
}
