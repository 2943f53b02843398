package bbtentry

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtschedule"
)

// ProbeAnswered handles an owner's answer to a probe. It tells the owner again what it
// lacks: the dispatches in progress, if it took this host for dead, and the usage of
// the limits, too, if it is another process at the same address or the message to it
// was lost. Then it registers the requests again that the owner does not know.
func (e *Entry) ProbeAnswered(now time.Time, from bbtfleet.HostID, r bbtschedule.ProbeReply) []Action {
	if from != e.owner {
		return nil
	}
	if e.ownerProcess != 0 && e.ownerProcess != r.Incarnation {
		e.limitUsage.ownerChanged(now)
	}
	e.ownerProcess = r.Incarnation
	var out []Action
	if r.Lacks != bbtschedule.LacksNothing {
		out = append(out, Send{e.owner, e.restated(now, r.Lacks)})
	}
	return append(out, e.registerAgain(now, r.Unknown)...)
}

// restated returns what the owner lacks.
func (e *Entry) restated(now time.Time, lacks bbtschedule.Lacks) bbtschedule.Takeover {
	t := bbtschedule.Takeover{Again: true}
	if lacks == bbtschedule.LacksEverything {
		t = e.limitUsage.takeover(now)
		t.Learned, t.Limits, t.Draining, t.Again = e.learned, e.limits.takeover(now), e.draining.List(), true
		t.Pauses = e.pauses.takeover(now)
	}
	for _, id := range e.sortedIDs() {
		if c := e.calls[id]; c.running {
			t.Running = append(t.Running, c.takeover(now)...)
		}
	}
	return t
}
