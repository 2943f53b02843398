package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes record.txt: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	w     *bufio.Writer
	start time.Time
}

func newRecord(dir string) (*record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: f, w: bufio.NewWriter(f), start: time.Now()}, nil
}

// printf writes one line with the seconds since the start.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.w, format, args...)
	r.w.WriteByte('\n')
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.Flush()
	r.file.Close()
}
