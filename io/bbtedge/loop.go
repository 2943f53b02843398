package bbtedge

import (
	"time"

	"go.uber.org/zap"
)

// loopStats measures the load of the event loop since it was last reported.
type loopStats struct {
	since    time.Time
	messages int           // received from hosts, this one included
	busy     time.Duration // time in which the loop did not wait
}

// reportLoop sets the gauges of the event loop and, on the owner, logs them. Then it
// starts a new period.
func (e *Edge) reportLoop(now time.Time) {
	period := now.Sub(e.loop.since)
	if e.loop.since.IsZero() || period <= 0 {
		e.loop = loopStats{since: now}
		return
	}
	busy := 1000 * e.loop.busy / period
	events, messages := len(e.events), len(e.peers.Inbox())
	e.counters.Set("loop-busy-permille", int64(busy))
	e.counters.Set("events-queued", int64(events))
	e.counters.Set("messages-queued", int64(messages))
	if e.entry.Owner() == e.settings.Host {
		e.log.Info("loop", zap.Int64("busy-permille", int64(busy)), zap.Int("messages", e.loop.messages),
			zap.Int("events-queued", events), zap.Int("messages-queued", messages))
	}
	e.loop = loopStats{since: now}
}
