// Package bbtlog writes log lines in the background, so that a slow writer never
// blocks the request path.
package bbtlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Capacity and batching of a queue.
const (
	queueCapacity = 4096    // in lines
	reservedLines = 1024    // part of the capacity reserved for lines above level info
	batchBytes    = 4 << 10 // pipes write up to 4 KiB (PIPE_BUF) atomically
	flushInterval = 100 * time.Millisecond
)

// line is one encoded log line.
type line struct{ text []byte }

// Queue is a bounded queue of log lines that a goroutine writes. As it fills up,
// lines at info and below are dropped before those above; every dropped line is
// counted.
type Queue struct {
	zapcore.Encoder
	level   zapcore.Level
	out     io.Writer
	lines   chan line
	routine atomic.Int64 // dropped lines at info and below
	severe  atomic.Int64 // dropped lines above info, and failed writes
	stop    chan struct{}
	done    sync.WaitGroup
}

// New returns a queue that writes lines of at least the given level to out, as
// JSON.
func New(out io.Writer, level zapcore.Level) *Queue {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	q := &Queue{
		Encoder: zapcore.NewJSONEncoder(cfg),
		level:   level,
		out:     out,
		lines:   make(chan line, queueCapacity),
		stop:    make(chan struct{}),
	}
	q.done.Go(q.run)
	return q
}

// Logger returns a logger that writes to the queue.
func (q *Queue) Logger() *zap.Logger { return zap.New(&core{queue: q, enc: q.Encoder}) }

// Dropped returns the number of dropped lines at info and below (routine) and
// above info (severe). Each failed write counts as one severe line.
func (q *Queue) Dropped() (routine, severe int64) { return q.routine.Load(), q.severe.Load() }

// Close writes the queued lines, which blocks while the writer blocks, and stops
// the goroutine.
func (q *Queue) Close() {
	close(q.stop)
	q.done.Wait()
}

// enqueue queues a line, or counts it as dropped if there is no room for its
// level.
func (q *Queue) enqueue(text []byte, level zapcore.Level) {
	if level <= zapcore.InfoLevel && len(q.lines) >= queueCapacity-reservedLines {
		q.routine.Add(1)
		return
	}
	select {
	case q.lines <- line{text}:
	default:
		if level <= zapcore.InfoLevel {
			q.routine.Add(1)
		} else {
			q.severe.Add(1)
		}
	}
}

// run writes lines in batches until the queue is closed.
func (q *Queue) run() {
	batch := batch{queue: q}
	for {
		select {
		case l := <-q.lines:
			batch.add(l)
		case <-q.stop:
			batch.drain()
			return
		}
		timer := time.NewTimer(flushInterval)
		select {
		case <-timer.C:
		case <-q.stop:
			timer.Stop()
		}
		batch.drain()
	}
}

// batch collects lines that are written together.
type batch struct {
	queue *Queue
	buf   []byte
}

// add adds a line, first flushing the batch if the line would not fit.
func (b *batch) add(l line) {
	if len(b.buf)+len(l.text) > batchBytes {
		b.flush()
	}
	b.buf = append(b.buf, l.text...)
}

// drain writes all queued lines.
func (b *batch) drain() {
	for {
		select {
		case l := <-b.queue.lines:
			b.add(l)
		default:
			b.flush()
			return
		}
	}
}

// flush writes the batch and empties it.
func (b *batch) flush() {
	b.queue.write(b.buf)
	b.buf = b.buf[:0]
}

// write writes a batch to the writer.
func (q *Queue) write(buf []byte) {
	if len(buf) == 0 {
		return
	}
	if _, err := q.out.Write(buf); err != nil {
		q.severe.Add(1) // the failure cannot be logged, since this is the log writer
	}
}
