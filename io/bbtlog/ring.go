// Package bbtlog carries log lines from the request path to a writer without
// ever waiting for it.
package bbtlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Bounds of a ring.
const (
	ringLines   = 4096    // lines that wait for the writer
	spareLines  = 1024    // of them, kept for lines above the level info
	batchBytes  = 4 << 10 // a pipe takes so many in one piece
	writePeriod = 100 * time.Millisecond
)

// line is one log line.
type line struct{ text []byte }

// Queue is a zapcore.Core whose lines a goroutine writes. When it is full,
// lines of routine go first; each loss is counted.
type Queue struct {
	zapcore.Encoder
	level   zapcore.Level
	out     io.Writer
	lines   chan line
	routine atomic.Int64 // lines lost at info and below
	grave   atomic.Int64 // lines lost above info
	stop    chan struct{}
	done    sync.WaitGroup
}

// New returns a ring that writes JSON lines of at least a level to out.
func New(out io.Writer, level zapcore.Level) *Queue {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	r := &Queue{
		Encoder: zapcore.NewJSONEncoder(cfg),
		level:   level,
		out:     out,
		lines:   make(chan line, ringLines),
		stop:    make(chan struct{}),
	}
	r.done.Go(r.run)
	return r
}

// Logger returns the logger that writes to the ring.
func (r *Queue) Logger() *zap.Logger { return zap.New(&core{ring: r, enc: r.Encoder}) }

// Dropped returns how many lines were lost at info and below, and above.
func (r *Queue) Dropped() (routine, grave int64) { return r.routine.Load(), r.grave.Load() }

// Close writes what is left, as far as the writer takes it at once, and ends
// the goroutine.
func (r *Queue) Close() {
	close(r.stop)
	r.done.Wait()
}

// offer queues a line or counts its loss.
func (r *Queue) offer(text []byte, level zapcore.Level) {
	if level <= zapcore.InfoLevel && len(r.lines) >= ringLines-spareLines {
		r.routine.Add(1)
		return
	}
	select {
	case r.lines <- line{text}:
	default:
		if level <= zapcore.InfoLevel {
			r.routine.Add(1)
		} else {
			r.grave.Add(1)
		}
	}
}

// run writes lines in batches until the ring is closed.
func (r *Queue) run() {
	batch := batch{ring: r}
	for {
		select {
		case l := <-r.lines:
			batch.add(l)
		case <-r.stop:
			batch.drain()
			return
		}
		pause := time.NewTimer(writePeriod)
		select {
		case <-pause.C:
		case <-r.stop:
			pause.Stop()
		}
		batch.drain()
	}
}

// batch gathers lines that are written together.
type batch struct {
	ring *Queue
	buf  []byte
}

// add adds a line, writing what was gathered if it would not fit.
func (b *batch) add(l line) {
	if len(b.buf)+len(l.text) > batchBytes {
		b.flush()
	}
	b.buf = append(b.buf, l.text...)
}

// drain writes all lines that wait.
func (b *batch) drain() {
	for {
		select {
		case l := <-b.ring.lines:
			b.add(l)
		default:
			b.flush()
			return
		}
	}
}

// flush writes what was gathered.
func (b *batch) flush() {
	b.ring.write(b.buf)
	b.buf = b.buf[:0]
}

// write passes a batch to the writer.
func (r *Queue) write(buf []byte) {
	if len(buf) == 0 {
		return
	}
	if _, err := r.out.Write(buf); err != nil {
		r.grave.Add(1) // the writer is the only place to tell of it
	}
}
