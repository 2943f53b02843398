package bbtedge

import (
	"time"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtentry"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtmember"
	"bluebelltray/core/bbtschedule"
	"bluebelltray/core/bbtverdict"
	"go.uber.org/zap"
)

// doEntry carries out the actions of the entry role.
func (e *Edge) doEntry(now time.Time, actions []bbtentry.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case bbtentry.Send:
			e.send(a.To, a.Message)
		case bbtentry.Dispatch:
			e.reply(a.ID, reply{dispatch: a})
		case bbtentry.Fail:
			err := bbtverdict.New(bbtverdict.NotRun, a.Reason, bbtverdict.WithRetryAfter(a.RetryAfter))
			e.reply(a.ID, reply{dispatch: bbtentry.Dispatch{Decision: a.Decision}, err: err})
			delete(e.requests, a.ID)
		case bbtentry.RelocationGranted:
			e.answerRelocation(a.ID, RelocationAnswer{Granted: true, Dispatch: a.Dispatch})
		case bbtentry.RelocationRefused:
			e.answerRelocation(a.ID, RelocationAnswer{})
		case bbtentry.EndpointDrains:
			e.counters.Add("endpoints-say-draining", 1)
			e.log.Info("endpoint says draining", zap.String("endpoint", a.Endpoint))
		case bbtentry.PermitReturned:
			if a.Draining {
				e.counters.Add("permits-returned-draining", 1)
			} else {
				e.counters.Add("permits-returned-paused", 1)
			}
		case bbtentry.EndpointPauses:
			e.counters.Add("endpoints-pause-host", 1)
			e.log.Info("endpoint pauses host", zap.String("endpoint", a.Endpoint), zap.Duration("for", a.Period))
		case bbtentry.OwnerUnresponsive:
			e.log.Warn("owner silent", zap.String("peer", string(a.Host)), zap.Duration("for", a.Silence))
			e.counters.Add("owners-silent", 1)
			e.election.Exclude(now, a.Host)
			e.peers.Reconnect(a.Host)
			e.electOwner(now)
		}
	}
}

// reply passes a scheduling decision to the goroutine that serves the caller.
func (e *Edge) reply(id bbtschedule.RequestID, r reply) {
	if req := e.requests[id]; req != nil {
		req.replies <- r // does not block: at most one decision is outstanding
	}
}

// doScheduler sends the messages of the owner role.
func (e *Edge) doScheduler(actions []bbtschedule.Action) {
	for _, a := range actions {
		e.send(a.To, a.Message)
	}
}

// send sends a message to a host, which may be this one. A message to the empty
// host ID is discarded.
func (e *Edge) send(to bbtfleet.HostID, msg any) {
	if to == e.settings.Host {
		e.localMessages = append(e.localMessages, msg)
		return
	}
	if to != "" {
		e.peers.Send(to, msg)
	}
}

// deliverLocal delivers the messages that the host sent to itself, including
// those sent meanwhile.
func (e *Edge) deliverLocal(now time.Time) {
	for len(e.localMessages) > 0 {
		msg := e.localMessages[0]
		e.localMessages = e.localMessages[1:]
		e.receive(now, e.settings.Host, msg)
	}
	e.localMessages = nil
}

// incarnation returns the incarnation of this process.
func (e *Edge) incarnation() uint64 { return e.election.Self().Incarnation }

// receive passes a message to the role that handles it.
func (e *Edge) receive(now time.Time, from bbtfleet.HostID, msg any) {
	e.loop.messages++
	e.entry.MessageReceived(now, from)
	switch m := msg.(type) {
	case bbtschedule.Registration:
		e.election.RecordFollower(now, from)
		e.doScheduler(e.scheduler.Register(now, from, m))
	case bbtschedule.Withdrawal:
		e.doScheduler(e.scheduler.Withdraw(now, from, m))
	case bbtschedule.FirstEvent:
		e.doScheduler(e.scheduler.FirstEvent(now, from, m))
	case bbtschedule.Done:
		e.doScheduler(e.scheduler.Done(now, from, m))
	case bbtschedule.Takeover:
		e.election.RecordFollower(now, from)
		e.scheduler.TakeOver(now, from, m)
	case bbtschedule.Probe:
		e.election.RecordFollower(now, from)
		e.answerProbe(now, from, m)
	case bbtschedule.ProbeReply:
		e.probeAnswered(now, from, m)
		if owner := e.election.Owner(); from == owner.ID && m.Incarnation == owner.Incarnation && !e.election.IsOwner() {
			e.ownerDeficitsAt, e.ownerDeficits = now, m.Deficits
			e.scheduler.SetLearned(now, m.Learned)
			if e.scheduler.LimitsUnused(now) {
				e.scheduler.ImportDeficits(now, m.Deficits) // so that limits hold for requests of hosts that take this one for the owner
			}
		}
	case bbtschedule.Permit:
		if from != e.settings.Host {
			e.scheduler.ImportSpeed(m.Endpoint, m.SpeedEstimate)
		}
		e.doEntry(now, e.entry.PermitReceived(now, from, m))
	case bbtschedule.Refusal:
		e.doEntry(now, e.entry.RefusalReceived(now, from, m))
	case bbtmember.Message:
		e.doDetector(now, e.detector.Receive(now, from, m, e.digest(now)))
	case MembershipSnapshot:
		e.doDetector(now, e.detector.Merge(now, m.Hosts))
	case UpdateRequest:
		e.send(from, e.catalog.UpdateSince(bbtcatalog.Position{Era: m.Era, Revision: m.Revision}, m.Version))
	case bbtcatalog.Update:
		e.applyUpdate(now, m, string(from))
	default:
		e.counters.Add("peer-messages-unexpected", 1)
	}
}
