package bbtlog

import "go.uber.org/zap/zapcore"

// core is a zapcore.Core that encodes entries and queues the lines.
type core struct {
	queue *Queue
	enc   zapcore.Encoder
}

// Enabled reports whether entries of the level are written.
func (c *core) Enabled(l zapcore.Level) bool { return l >= c.queue.level }

// With returns a core that adds fields to each entry.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	enc := c.enc.Clone()
	for _, f := range fields {
		f.AddTo(enc)
	}
	return &core{queue: c.queue, enc: enc}
}

// Check adds the core to ce if the level of e is enabled.
func (c *core) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return ce.AddCore(e, c)
	}
	return ce
}

// Write encodes an entry and queues the line.
func (c *core) Write(e zapcore.Entry, fields []zapcore.Field) error {
	buf, err := c.enc.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	c.queue.enqueue(append([]byte(nil), buf.Bytes()...), e.Level)
	buf.Free()
	return nil
}

// Sync does nothing, since the queue writes lines in the background.
func (c *core) Sync() error { return nil }
