package bbtlog_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bluebelltray/io/bbtlog"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// pipe is a writer that can be blocked and stores what is written to it.
type pipe struct {
	mu           sync.Mutex
	blocked      chan struct{} // nil unless writes block
	written      bytes.Buffer
	largestWrite int
}

// Write stores bytes, waiting first while the pipe is blocked.
func (p *pipe) Write(b []byte) (int, error) {
	p.mu.Lock()
	blocked := p.blocked
	p.mu.Unlock()
	if blocked != nil {
		<-blocked
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.largestWrite = max(p.largestWrite, len(b))
	return p.written.Write(b)
}

// count returns the number of occurrences of text in the output.
func (p *pipe) count(text string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Count(p.written.String(), text)
}

func TestAllLinesAreWrittenInSmallBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &pipe{}
		q := bbtlog.New(out, zapcore.InfoLevel)
		log := q.Logger().With(zap.String("host", "a"))
		for range 500 {
			log.Info("request", zap.String("request", strings.Repeat("x", 100)))
		}
		log.Debug("debug line")
		q.Close()
		if got := out.count(`"host":"a"`); got != 500 || out.count("debug line") != 0 {
			t.Errorf("got %d lines, want 500 and no debug line", got)
		}
		if out.largestWrite > 4096 {
			t.Errorf("got a write of %d bytes, want at most 4096, which a pipe writes atomically", out.largestWrite)
		}
	})
}

func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &pipe{blocked: make(chan struct{})}
		q := bbtlog.New(out, zapcore.InfoLevel)
		log := q.Logger()
		start := time.Now()
		for range 10_000 {
			log.Info("routine")
		}
		for range 100 {
			log.Warn("severe")
		}
		if took := time.Since(start); took != 0 {
			t.Errorf("got %v spent waiting for the writer, want none", took)
		}
		routine, severe := q.Dropped()
		if routine < 5000 || severe != 0 {
			t.Errorf("got %d routine and %d severe lines dropped, want at least 5000 and 0", routine, severe)
		}
		close(out.blocked)
		q.Close()
		if got := out.count("severe"); got != 100 {
			t.Errorf("got %d severe lines in the end, want 100", got)
		}
		if got := int64(out.count("routine")); got+routine != 10_000 {
			t.Errorf("got %d lines written and %d counted as dropped, want 10000 in total", got, routine)
		}
	})
}
