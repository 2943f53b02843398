package bbtlog

import "go.uber.org/zap/zapcore"

// core encodes entries for a ring.
type core struct {
	ring *Queue
	enc  zapcore.Encoder
}

// Enabled reports whether lines of the level are written.
func (c *core) Enabled(l zapcore.Level) bool { return l >= c.ring.level }

// With returns a core that adds fields to each line.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	enc := c.enc.Clone()
	for _, f := range fields {
		f.AddTo(enc)
	}
	return &core{ring: c.ring, enc: enc}
}

// Check adds the core to an entry that it writes.
func (c *core) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return ce.AddCore(e, c)
	}
	return ce
}

// Write encodes an entry and queues it.
func (c *core) Write(e zapcore.Entry, fields []zapcore.Field) error {
	buf, err := c.enc.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	c.ring.offer(append([]byte(nil), buf.Bytes()...), e.Level)
	buf.Free()
	return nil
}

// Sync does nothing: lines are written by the ring.
func (c *core) Sync() error { return nil }
