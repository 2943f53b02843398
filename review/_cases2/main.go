// Command cases runs the cases of this review: it starts the system's own program with
// the command of the deploy file, and stand-ins for the store, servers and clients.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

var (
	repo      string // root of the repository
	tempDir   string
	trouble   bool // the disruption is made
	record    *os.File
	recordMu  sync.Mutex
	began     = time.Now()
	processes []*exec.Cmd
	held      sync.Map // connections that stay open
)

// logf writes a line to record.txt, with the seconds since the start.
func logf(format string, args ...any) { logAt(time.Now(), format, args...) }

// logAt writes a line with the time of what it tells.
func logAt(t time.Time, format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(record, "%8.3f ", t.Sub(began).Seconds())
	fmt.Fprintf(record, format+"\n", args...)
}

// exit ends all processes that were started, and the case.
func exit(code int, text string) {
	for _, p := range processes {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	logf("%s", text)
	fmt.Println(text)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(tempDir)
	} else {
		fmt.Println(tempDir)
	}
	os.Exit(code)
}

// judge ends the case by whether the rule was broken.
func judge(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if broken {
		exit(1, "rule broken: "+text)
	}
	exit(0, "rule held: "+text)
}

func main() {
	cases := map[string]func(){"memory-unread-answers": memoryUnreadAnswers, "route-moved-silent-store": routeMovedSilentStore}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME REPOSITORY RECORD")
		os.Exit(2)
	}
	trouble = os.Getenv("TROUBLE") != "0"
	var err error
	if repo, err = filepath.Abs(os.Args[2]); err == nil {
		if record, err = os.Create(os.Args[3]); err == nil {
			tempDir, err = os.MkdirTemp("", "bbt-case-")
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	time.AfterFunc(110*time.Second, func() { exit(2, "could not run: out of time") })
	logf("case %s, disruption %t", os.Args[1], trouble)
	cases[os.Args[1]]()
}
