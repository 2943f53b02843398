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
	e.send(from, bbtschedule.ProbeReply{
		Deficits: e.scheduler.Deficits(now), Learned: e.scheduler.Learned(now), Incarnation: e.incarnation(),
		Unknown: unknown, Lacks: e.scheduler.Lacks(from),
	})
}

// probeAnswered tells the owner again what it lacks by its answer to a probe.
func (e *Edge) probeAnswered(now time.Time, from bbtfleet.HostID, r bbtschedule.ProbeReply) {
	if r.Lacks != bbtschedule.LacksNothing {
		e.entry.SetLearned(e.scheduler.Learned(now))
	}
	actions := e.entry.ProbeAnswered(now, from, r)
	if len(actions) == 0 {
		return
	}
	told, registered := 0, len(actions)
	if r.Lacks != bbtschedule.LacksNothing {
		told, registered = 1, registered-1
	}
	e.counters.Add("dispatches-told-again", int64(told))
	e.counters.Add("requests-registered-again", int64(registered))
	e.log.Info("told owner again", zap.String("peer", string(from)), zap.Int("requests", registered),
		zap.Bool("dispatches", r.Lacks != bbtschedule.LacksNothing), zap.Bool("usage", r.Lacks == bbtschedule.LacksEverything))
	e.doEntry(now, actions)
}
