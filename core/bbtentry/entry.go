// Package bbtentry is the entry role: for the requests that one host takes from
// callers, it asks the owner for permits, repeats what may be repeated, and
// follows the owner when it changes.
package bbtentry

import (
	"cmp"
	"slices"
	"time"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtschedule"
	"bluebelltray/core/bbtverdict"
)

const (
	// ProbeDelay is the silence of an owner after which it is probed while a
	// request waits.
	ProbeDelay = 100 * time.Millisecond
	// FollowInterval is how often an owner is told that this host follows it.
	FollowInterval = 500 * time.Millisecond
	// OwnerTimeout is the silence after which an owner is given up while a
	// request waits.
	OwnerTimeout = 400 * time.Millisecond
)

// Entry keeps the requests of one host. It is not safe for concurrent use.
type Entry struct {
	owner   bbtfleet.HostID
	heard   time.Time // last message from the owner
	probed  time.Time // last message that the owner has to answer
	waiting time.Time // since when the owner owes an answer; zero if it owes none
	calls   map[bbtschedule.RequestID]*call
	last    bbtschedule.RequestID
	used    uses
}

// New returns an entry without requests. Its numbers begin after first, so that
// a new process does not use those of a former one.
func New(first bbtschedule.RequestID, b bbtcatalog.Bounds) *Entry {
	return &Entry{calls: make(map[bbtschedule.RequestID]*call), last: first, used: newUses(b)}
}

// Owner returns the host that is asked for permits; empty if there is none.
func (e *Entry) Owner() bbtfleet.HostID { return e.owner }

// Len returns how many requests have not ended.
func (e *Entry) Len() int { return len(e.calls) }

// Submit takes a request on.
func (e *Entry) Submit(now time.Time, s Submission) (bbtschedule.RequestID, []Action) {
	e.last++
	c := &call{id: e.last, submission: s}
	e.calls[c.id] = c
	return c.id, e.register(now, c)
}

// register asks the owner for a permit.
func (e *Entry) register(now time.Time, c *call) []Action {
	if c.left(now) <= 0 {
		return e.fail(c, bbtverdict.ReasonTimeout, 0)
	}
	if e.owner == "" {
		return nil
	}
	if e.waiting.IsZero() {
		e.waiting = now
	}
	return []Action{Send{e.owner, c.registration(now)}}
}

// fail ends a request without an answer.
func (e *Entry) fail(c *call, reason bbtverdict.Reason, after time.Duration) []Action {
	delete(e.calls, c.id)
	return []Action{Fail{ID: c.id, Reason: reason, RetryAfter: after}}
}

// SetOwner makes another host the owner. It is told what runs, and asked for
// what waits.
func (e *Entry) SetOwner(now time.Time, owner bbtfleet.HostID) []Action {
	if owner == e.owner {
		return nil
	}
	e.owner, e.heard, e.probed, e.waiting = owner, now, time.Time{}, time.Time{}
	if owner == "" {
		return nil
	}
	t := e.used.takeover(now)
	var out []Action
	for _, id := range e.ids() {
		c := e.calls[id]
		if c.running {
			t.Running = append(t.Running, c.takeover(now))
			continue
		}
		out = append(out, e.register(now, c)...)
	}
	return append([]Action{Send{owner, t}}, out...)
}

// ids returns the numbers of all requests in order.
func (e *Entry) ids() []bbtschedule.RequestID {
	ids := make([]bbtschedule.RequestID, 0, len(e.calls))
	for id := range e.calls {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, cmp.Compare)
	return ids
}

// MessageReceived records a message from a host.
func (e *Entry) MessageReceived(now time.Time, from bbtfleet.HostID) {
	if from == e.owner {
		e.heard, e.waiting = now, time.Time{}
	}
}

// PermitReceived takes a permit. One that no request waits for goes back.
func (e *Entry) PermitReceived(now time.Time, from bbtfleet.HostID, p bbtschedule.Permit) []Action {
	c := e.calls[p.ID]
	if c == nil || c.running || c.attempt != p.Attempt {
		return []Action{Send{from, bbtschedule.Done{ID: p.ID, Attempt: p.Attempt, Outcome: bbtschedule.Unused}}}
	}
	if c.left(now) <= 0 {
		out := []Action{Send{from, bbtschedule.Done{ID: p.ID, Attempt: p.Attempt, Outcome: bbtschedule.Unused}}}
		return append(out, e.fail(c, bbtverdict.ReasonTimeout, 0)...)
	}
	e.used.count(now, c)
	c.running, c.began, c.endpoint, c.granted, c.from = true, false, p.Endpoint, now, from
	return []Action{Dispatch{ID: c.id, Attempt: c.attempt, Endpoint: p.Endpoint, Address: p.Address,
		Decision: DecisionInfo{Owner: from, Running: p.Running}}}
}

// RefusalReceived takes a refusal.
func (e *Entry) RefusalReceived(from bbtfleet.HostID, r bbtschedule.Refusal) []Action {
	c := e.calls[r.ID]
	if c == nil || c.running || c.attempt != r.Attempt {
		return nil
	}
	delete(e.calls, c.id)
	return []Action{Fail{ID: c.id, Reason: bbtverdict.Reason(r.Reason), RetryAfter: r.RetryAfter,
		Decision: DecisionInfo{Owner: from, Ahead: r.Ahead, ExpectedWait: r.Wait}}}
}

// ResponseStarted records the first event of a dispatch.
func (e *Entry) ResponseStarted(id bbtschedule.RequestID) []Action {
	c := e.calls[id]
	if c == nil || !c.running || c.began {
		return nil
	}
	c.began = true
	return []Action{Send{e.owner, bbtschedule.Began{ID: id}}}
}

// DispatchEnded records the end of a dispatch. The request goes to another endpoint if
// again says that its caller still wants that and its attempts allow it;
// otherwise it has ended.
func (e *Entry) DispatchEnded(now time.Time, id bbtschedule.RequestID, d bbtschedule.Done, again bool) []Action {
	c := e.calls[id]
	if c == nil || !c.running {
		return nil
	}
	d.ID, d.Attempt = c.id, c.attempt
	out := []Action{Send{e.owner, d}}
	if c.from != e.owner && c.from != "" {
		out = append(out, Send{c.from, d})
	}
	c.running = false
	c.tried = append(c.tried, c.endpoint)
	c.attempt++
	if d.Outcome != bbtschedule.Unreachable {
		c.sent++
	}
	switch {
	case !again:
		delete(e.calls, id)
		return out
	case c.sent >= c.submission.MaxAttempts || c.attempt >= mostAttempts:
		return append(out, e.fail(c, bbtverdict.ReasonAttemptsExhausted, 0)...)
	default:
		return append(out, e.register(now, c)...)
	}
}

// Cancel ends a request whose caller has left.
func (e *Entry) Cancel(id bbtschedule.RequestID) []Action {
	c := e.calls[id]
	if c == nil {
		return nil
	}
	delete(e.calls, id)
	if c.running {
		return []Action{Send{e.owner, bbtschedule.Done{ID: id, Attempt: c.attempt, Outcome: bbtschedule.Cancelled}}}
	}
	return []Action{Send{e.owner, bbtschedule.Withdrawal{ID: id}}}
}

// Tick does what is due by time alone.
func (e *Entry) Tick(now time.Time) []Action {
	var out []Action
	for _, id := range e.ids() {
		if c := e.calls[id]; !c.running && c.left(now) <= 0 {
			out = append(out, Send{e.owner, bbtschedule.Withdrawal{ID: id}})
			out = append(out, e.fail(c, bbtverdict.ReasonTimeout, 0)...)
		}
	}
	if e.owner == "" {
		return out
	}
	silent := now.Sub(e.heard)
	owes := !e.waiting.IsZero() && now.Sub(e.waiting) >= ProbeDelay
	if now.Sub(e.probed) >= FollowInterval || owes && silent >= ProbeDelay && now.Sub(e.probed) >= ProbeDelay {
		e.probed = now
		if e.waiting.IsZero() {
			e.waiting = now
		}
		out = append(out, Send{e.owner, bbtschedule.Probe{}})
	}
	if !e.waiting.IsZero() && now.Sub(e.waiting) >= OwnerTimeout && silent >= OwnerTimeout {
		out = append(out, OwnerUnresponsive{Host: e.owner, Silence: silent})
	}
	return out
}
