package main

import (
	"time"

	"bluebelltray"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtroute"
	"bluebelltray/core/bbtsuspect"
	"bluebelltray/core/bbtverdict"
)

// host is an entry host: the core state machines of one process and a driver that
// executes their actions over a simulated network.
type host struct {
	w             *world
	id            bbtfleet.HostID
	zone          bbtfleet.ZoneID
	policy        bluebelltray.Policy
	owner         *bbtgrant.Owner // nil under policies without owners
	partitionSide int             // hosts on different sides cannot communicate
	dead          bool
	believedDead  map[bbtfleet.HostID]bool
	requests      map[bbtgrant.RequestID]*request
	calls         map[bbtgrant.RequestID]*call
	suspects      bbtsuspect.Suspects
	tracker       *bbtsuspect.Tracker
	entryTickAt   time.Time // when the policy's next tick is scheduled
	ownerTickAt   time.Time // when the owner's next tick is scheduled
}

// loadReportReceiver is a policy that receives load reports at the entry host.
type loadReportReceiver interface {
	UpdateLoad(now time.Time, r bbtgrant.LoadReport) []bbtroute.Action
}

// submit passes a caller's request to the policy and schedules its cancellation at
// the deadline.
func (h *host) submit(r *request) {
	w := h.w
	w.attempts++
	id := bbtgrant.RequestID(w.attempts)
	h.requests[id] = r
	r.dispatches, r.refusals = 0, 0
	dispatchMode := h.suspects.DispatchMode(w.now, bbtsuspect.Fingerprint(r.id))
	// Bans do not apply under the baselines, which ignore suspects.
	if (h.owner != nil || w.ideal != nil) && dispatchMode == bbtsuspect.Banned {
		h.refuse(bbtroute.Refuse{Request: id, Err: bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonCrashesEndpoints)})
		return
	}
	h.applyEntryActions(h.policy.Submit(w.now, bbtroute.Request{
		ID: id, Pool: r.class.pool, Account: r.class.account, Tier: r.class.tier,
		Deadline: r.deadline, InputTokens: r.prompt, OutputTokens: r.outputLimit, Prefix: r.prefix,
		PrefixTokens: r.prefixTokens, MaxRepeats: r.maxRepeats,
		Isolated: dispatchMode == bbtsuspect.Isolated,
	}))
	w.after(r.deadline.Sub(w.now), func() {
		if !h.dead && h.requests[id] != nil {
			w.score.deadlineExpired(r)
			h.applyEntryActions(h.policy.Cancel(w.now, id))
			if h.calls[id] == nil {
				delete(h.requests, id)
			}
		}
	})
}

// applyEntryActions executes actions of the entry role.
func (h *host) applyEntryActions(actions []bbtroute.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case bbtroute.Send:
			h.send(a.To, a.Message)
		case bbtroute.Dispatch:
			h.dispatch(a)
		case bbtroute.Stop:
			h.stop(a.Request)
		case bbtroute.Refuse:
			h.refuse(a)
		}
	}
	h.scheduleEntryTick()
}

func (h *host) send(to bbtfleet.HostID, m bbtgrant.Message) {
	h.w.deliver(h, to, m, func(peer *host) {
		now := h.w.now
		switch m := m.(type) {
		case bbtgrant.Registration:
			peer.applyOwnerActions(peer.owner.Register(now, h.id, m))
		case bbtgrant.Withdrawal:
			peer.applyOwnerActions(peer.owner.Withdraw(now, h.id, m.Request))
		case bbtgrant.Return:
			peer.applyOwnerActions(peer.owner.Return(now, h.id, m.Permit))
		case bbtgrant.DispatchEnded:
			peer.applyOwnerActions(peer.owner.DispatchEnded(now, h.id, m))
		}
	})
}

// applyOwnerActions executes actions of the owner role.
func (h *host) applyOwnerActions(actions []bbtgrant.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case bbtgrant.Grant:
			h.w.deliver(h, a.To, a.Permit, func(peer *host) {
				peer.applyEntryActions(peer.policy.Granted(h.w.now, h.id, a.Permit))
			})
		case bbtgrant.Shed:
			h.w.deliver(h, a.To, a, func(peer *host) {
				peer.applyEntryActions(peer.policy.WasShed(h.w.now, h.id, a))
			})
		}
	}
	h.scheduleOwnerTick()
}

func (h *host) dispatch(d bbtroute.Dispatch) {
	w := h.w
	r, e := h.requests[d.Request], w.engineByID[d.Endpoint]
	if r == nil {
		return
	}
	c := &call{req: r, host: h, id: d.Request, engine: e, incarnation: e.incarnation}
	h.calls[d.Request] = c
	w.score.dispatched(w.now, r)
	h.tracker.Begin(e.record.ID(), bbtsuspect.Fingerprint(r.id))
	w.after(w.engineLatency(h, e), func() {
		switch {
		case c.ended:
		case !e.accept(c):
			w.callEnded(c, bbtgrant.Refused)
		}
	})
}

func (h *host) stop(id bbtgrant.RequestID) {
	c := h.calls[id]
	if c == nil {
		return
	}
	h.w.after(h.w.engineLatency(h, c.engine), func() { c.engine.cancel(c) })
	h.finished(c, bbtgrant.Cancelled)
}

func (h *host) refuse(r bbtroute.Refuse) {
	req := h.requests[r.Request]
	delete(h.requests, r.Request)
	if req == nil {
		return
	}
	h.w.score.refused(h.w.now, req, r.Err)
	if req.poison && r.Err.Verdict() == bbtverdict.MayHaveRun {
		h.w.resend(req)
	}
}

// finished records the end of a call and passes it to the policy.
func (h *host) finished(c *call, o bbtgrant.Outcome) {
	if h.dead || h.calls[c.id] != c {
		return
	}
	delete(h.calls, c.id)
	h.w.score.callEnded(c, o, h.w.now)
	if o == bbtgrant.Lost {
		h.w.reportCrash(h, bbtsuspect.Crash{Endpoint: c.engine.record.ID(), Incarnation: c.incarnation})
	} else {
		h.tracker.End(c.engine.record.ID(), bbtsuspect.Fingerprint(c.req.id), false, o == bbtgrant.Finished)
	}
	if o == bbtgrant.Finished || o == bbtgrant.Cancelled {
		delete(h.requests, c.id)
	}
	h.applyEntryActions(h.policy.Finished(h.w.now, c.id, bbtroute.Outcome{Kind: o, OutputTokens: c.generated}))
}

// scheduleEntryTick schedules the policy's next tick.
func (h *host) scheduleEntryTick() {
	next := h.policy.Next()
	if next.IsZero() || h.entryTickAt.After(h.w.now) && !next.Before(h.entryTickAt) {
		return
	}
	h.entryTickAt = later(next, h.w.now.Add(time.Millisecond))
	at := h.entryTickAt
	h.w.after(at.Sub(h.w.now), func() {
		if !h.dead && h.entryTickAt.Equal(at) {
			h.entryTickAt = time.Time{}
			h.applyEntryActions(h.policy.Tick(h.w.now))
		}
	})
}

// scheduleOwnerTick schedules the owner's next tick.
func (h *host) scheduleOwnerTick() {
	next := h.owner.Next()
	if next.IsZero() || h.ownerTickAt.After(h.w.now) && !next.Before(h.ownerTickAt) {
		return
	}
	h.ownerTickAt = later(next, h.w.now.Add(time.Millisecond))
	at := h.ownerTickAt
	h.w.after(at.Sub(h.w.now), func() {
		if !h.dead && h.ownerTickAt.Equal(at) {
			h.ownerTickAt = time.Time{}
			h.applyOwnerActions(h.owner.Tick(h.w.now))
		}
	})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
