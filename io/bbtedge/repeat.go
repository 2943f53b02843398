package bbtedge

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtschedule"
	"go.uber.org/zap"
)

// answerProbe answers a Probe, and the requests that it names with the permits and
// refusals that were sent before.
func (e *Edge) answerProbe(now time.Time, from bbtfleet.HostID, p bbtschedule.Probe) {
	again, unknown := e.scheduler.Pending(now, from, p.Pending)
	if len(again) > 0 {
		e.counters.Add("replies-sent-again", int64(len(again)))
		e.log.Info("replies sent again", zap.String("peer", string(from)), zap.Int("requests", len(again)))
	}
	e.doScheduler(again)
	e.send(from, bbtschedule.ProbeReply{Deficits: e.scheduler.Deficits(now), Learned: e.scheduler.Learned(now), Incarnation: e.incarnation(), Unknown: unknown})
}

// registerAgain registers the requests that the owner does not know.
func (e *Edge) registerAgain(now time.Time, from bbtfleet.HostID, unknown []bbtschedule.Pending) {
	actions := e.entry.Unknown(now, from, unknown)
	if len(actions) == 0 {
		return
	}
	e.counters.Add("requests-registered-again", int64(len(actions)))
	e.log.Info("requests registered again", zap.String("peer", string(from)), zap.Int("requests", len(actions)))
	e.doEntry(now, actions)
}
