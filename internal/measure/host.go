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

// host is an entry host: the core code of one process and a driver that
// carries out its actions over a fake network.
type host struct {
	w          *world
	id         bbtfleet.HostID
	zone       bbtfleet.ZoneID
	policy     bluebelltray.Policy
	owner      *bbtgrant.Owner // nil under policies without owners
	side       int             // of a partition
	dead       bool
	distrust   map[bbtfleet.HostID]bool // hosts believed dead
	requests   map[bbtgrant.RequestID]*request
	calls      map[bbtgrant.RequestID]*call
	suspicions bbtsuspect.Suspects
	tracker    *bbtsuspect.Tracker
	entryAt    time.Time // when the policy's next tick is scheduled
	ownerAt    time.Time // when the owner's next tick is scheduled
}

// loadReader is a policy that reads load reports itself.
type loadReader interface {
	UpdateLoad(now time.Time, r bbtgrant.LoadReport) []bbtroute.Action
}

// submit takes a caller's request on.
func (h *host) submit(r *request) {
	w := h.w
	w.attempts++
	id := bbtgrant.RequestID(w.attempts)
	h.requests[id] = r
	r.dispatches, r.refusals = 0, 0
	treatment := h.suspicions.DispatchMode(w.now, bbtsuspect.Fingerprint(r.id))
	if (h.owner != nil || w.ideal != nil) && treatment == bbtsuspect.Banned {
		h.refuse(bbtroute.Refuse{Request: id, Err: bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonCrashesEndpoints)})
		return
	}
	h.entry(h.policy.Submit(w.now, bbtroute.Request{
		ID: id, Pool: r.class.pool, Account: r.class.account, Tier: r.class.tier,
		Deadline: r.deadline, InputTokens: r.prompt, OutputTokens: r.limit, Prefix: r.prefix,
		PrefixTokens: r.prefixTokens, MaxRepeats: r.repeats,
		Isolated: treatment == bbtsuspect.Isolated,
	}))
	w.after(r.deadline.Sub(w.now), func() {
		if !h.dead && h.requests[id] != nil {
			w.score.late(r)
			h.entry(h.policy.Cancel(w.now, id))
			if h.calls[id] == nil {
				delete(h.requests, id)
			}
		}
	})
}

// entry carries out actions of the entry role.
func (h *host) entry(actions []bbtroute.Action) {
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
	h.armEntry()
}

func (h *host) send(to bbtfleet.HostID, m bbtgrant.Message) {
	h.w.carry(h, to, m, func(peer *host) {
		now := h.w.now
		switch m := m.(type) {
		case bbtgrant.Registration:
			peer.grants(peer.owner.Register(now, h.id, m))
		case bbtgrant.Withdrawal:
			peer.grants(peer.owner.Withdraw(now, h.id, m.Request))
		case bbtgrant.Return:
			peer.grants(peer.owner.Return(now, h.id, m.Permit))
		case bbtgrant.DispatchEnded:
			peer.grants(peer.owner.DispatchEnded(now, h.id, m))
		}
	})
}

// grants carries out actions of the owner role.
func (h *host) grants(actions []bbtgrant.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case bbtgrant.Grant:
			h.w.carry(h, a.To, a.Permit, func(peer *host) {
				peer.entry(peer.policy.Granted(h.w.now, h.id, a.Permit))
			})
		case bbtgrant.Shed:
			h.w.carry(h, a.To, a, func(peer *host) {
				peer.entry(peer.policy.WasShed(h.w.now, h.id, a))
			})
		}
	}
	h.armOwner()
}

func (h *host) dispatch(d bbtroute.Dispatch) {
	w := h.w
	r, e := h.requests[d.Request], w.byID[d.Endpoint]
	if r == nil {
		return
	}
	c := &call{req: r, host: h, id: d.Request, engine: e, incarnation: e.incarnation}
	h.calls[d.Request] = c
	w.score.dispatched(w.now, r)
	h.tracker.Begin(e.record.ID(), bbtsuspect.Fingerprint(r.id))
	w.after(w.toEngine(h, e), func() {
		switch {
		case c.gone:
		case !e.accept(c):
			w.ended(c, bbtgrant.Refused)
		}
	})
}

func (h *host) stop(id bbtgrant.RequestID) {
	c := h.calls[id]
	if c == nil {
		return
	}
	h.w.after(h.w.toEngine(h, c.engine), func() { c.engine.cancel(c) })
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

// finished tells the policy that a call has ended.
func (h *host) finished(c *call, o bbtgrant.Outcome) {
	if h.dead || h.calls[c.id] != c {
		return
	}
	delete(h.calls, c.id)
	h.w.score.ended(c, o, h.w.now)
	if o == bbtgrant.Lost {
		h.w.suspect(h, bbtsuspect.Crash{Endpoint: c.engine.record.ID(), Incarnation: c.incarnation})
	} else {
		h.tracker.End(c.engine.record.ID(), bbtsuspect.Fingerprint(c.req.id), false, o == bbtgrant.Finished)
	}
	if o == bbtgrant.Finished || o == bbtgrant.Cancelled {
		delete(h.requests, c.id)
	}
	h.entry(h.policy.Finished(h.w.now, c.id, bbtroute.Outcome{Kind: o, OutputTokens: c.made}))
}

// armEntry schedules the policy's next tick.
func (h *host) armEntry() {
	next := h.policy.Next()
	if next.IsZero() || h.entryAt.After(h.w.now) && !next.Before(h.entryAt) {
		return
	}
	h.entryAt = later(next, h.w.now.Add(time.Millisecond))
	at := h.entryAt
	h.w.after(at.Sub(h.w.now), func() {
		if !h.dead && h.entryAt.Equal(at) {
			h.entryAt = time.Time{}
			h.entry(h.policy.Tick(h.w.now))
		}
	})
}

// armOwner schedules the owner's next tick.
func (h *host) armOwner() {
	next := h.owner.Next()
	if next.IsZero() || h.ownerAt.After(h.w.now) && !next.Before(h.ownerAt) {
		return
	}
	h.ownerAt = later(next, h.w.now.Add(time.Millisecond))
	at := h.ownerAt
	h.w.after(at.Sub(h.w.now), func() {
		if !h.dead && h.ownerAt.Equal(at) {
			h.ownerAt = time.Time{}
			h.grants(h.owner.Tick(h.w.now))
		}
	})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
