package bbtedge

import (
	"strconv"
	"strings"

	"bluebelltray/core/bbtschedule"
	"go.uber.org/zap"
)

// logNotices logs and counts what the scheduler has learnt of endpoints and
// requests.
func (e *Edge) logNotices() {
	for _, n := range e.scheduler.TakeNotices() {
		switch n := n.(type) {
		case bbtschedule.EndpointCrashed:
			e.counters.Add("endpoint-crashes", 1)
			e.log.Warn("endpoint crashed", zap.String("endpoint", n.Endpoint), zap.Int("running", n.Running), zap.Int("lost", n.Lost),
				zap.Strings("unanswered", waitingBlocks(n.Waiting)))
		case bbtschedule.Quarantined:
			e.counters.Add("quarantines", 1)
			e.log.Warn("requests quarantined", zap.Strings("blocks", hexIDs(n.Blocks)), zap.Bool("whole-request", n.Fingerprint != 0),
				zap.Strings("crashed", n.Endpoints), zap.Int("times", n.Times))
		case bbtschedule.EndpointLimited:
			e.counters.Add("endpoint-limits-changed", 1)
			e.log.Info("endpoint states limit", zap.String("endpoint", n.Endpoint), zap.Bool("limited", n.Limit.Limited),
				zap.Float64("per-second", n.Limit.PerSecond), zap.Float64("before", n.Before.PerSecond))
		case bbtschedule.QuarantineLifted:
			e.counters.Add("quarantines-lifted", 1)
			e.log.Warn("quarantine lifted", zap.Strings("not-crashed-by-it", n.Endpoints))
		}
	}
}

// waitingBlocks returns the IDs of the prompt blocks of each run, with the number of
// the dispatch.
func waitingBlocks(runs []bbtschedule.Waiting) []string {
	out := make([]string, 0, len(runs))
	for _, r := range runs {
		ids := make([]uint64, 0, len(r.Blocks))
		for _, b := range r.Blocks {
			ids = append(ids, b.ID)
		}
		out = append(out, strconv.Itoa(r.Attempt)+" "+strings.Join(hexIDs(ids), ","))
	}
	return out
}

// hexIDs returns the IDs of prompt blocks as callers write them.
func hexIDs(ids []uint64) []string {
	out := make([]string, 0, len(ids))
	for _, id := range ids {
		out = append(out, strconv.FormatUint(id, 16))
	}
	return out
}
