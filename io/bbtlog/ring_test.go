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

// pipe is a writer that can be blocked and keeps what it is given.
type pipe struct {
	mu      sync.Mutex
	blocked chan struct{} // nil while it takes bytes
	got     bytes.Buffer
	largest int
}

// Write takes bytes unless the pipe is blocked.
func (p *pipe) Write(b []byte) (int, error) {
	p.mu.Lock()
	blocked := p.blocked
	p.mu.Unlock()
	if blocked != nil {
		<-blocked
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.largest = max(p.largest, len(b))
	return p.got.Write(b)
}

// lines returns the number of lines that contain text.
func (p *pipe) lines(text string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Count(p.got.String(), text)
}

func TestLinesReachTheWriterWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &pipe{}
		r := bbtlog.New(out, zapcore.InfoLevel)
		log := r.Logger().With(zap.String("host", "a"))
		for range 500 {
			log.Info("request", zap.String("request", strings.Repeat("x", 100)))
		}
		log.Debug("unseen")
		r.Close()
		if got := out.lines(`"host":"a"`); got != 500 || out.lines("unseen") != 0 {
			t.Errorf("got %d lines, want 500 and none of debug", got)
		}
		if out.largest > 4096 {
			t.Errorf("got a write of %d bytes, want at most what a pipe takes in one piece", out.largest)
		}
	})
}

func TestBlockedReaderStopsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &pipe{blocked: make(chan struct{})}
		r := bbtlog.New(out, zapcore.InfoLevel)
		log := r.Logger()
		began := time.Now()
		for range 10_000 {
			log.Info("routine")
		}
		for range 100 {
			log.Warn("grave")
		}
		if took := time.Since(began); took != 0 {
			t.Errorf("got %v waited for the writer, want none", took)
		}
		routine, grave := r.Dropped()
		if routine < 5000 || grave != 0 {
			t.Errorf("got %d routine and %d grave lines lost, want routine ones alone", routine, grave)
		}
		close(out.blocked)
		r.Close()
		if got := out.lines("grave"); got != 100 {
			t.Errorf("got %d grave lines in the end, want 100", got)
		}
		if got := int64(out.lines("routine")); got+routine != 10_000 {
			t.Errorf("got %d lines written and %d counted lost, want 10000 together", got, routine)
		}
	})
}
