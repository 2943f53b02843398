// Package bbtentry implements the entry role of a host: it asks the owner, the one
// host that schedules all services, for permits for the requests that the host
// receives from callers, retries them where allowed, and switches to a new owner
// when the owner changes.
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
	// ProbeDelay is how long an owner may be silent while a reply from it is pending
	// before it is probed.
	ProbeDelay = 100 * time.Millisecond
	// FollowInterval is the interval between the Probes that tell the owner that this
	// host uses it.
	FollowInterval = 500 * time.Millisecond
	// OwnerTimeout is how long an owner may be silent while a reply from it is
	// pending before it is reported as unresponsive.
	OwnerTimeout = 400 * time.Millisecond
	// pauseThreshold is the time between calls of Tick from which this host counts
	// as paused, or as too slow to have read the owner's replies.
	pauseThreshold = 200 * time.Millisecond
)

// Entry tracks the requests of one host. It is not safe for concurrent use.
type Entry struct {
	owner         bbtfleet.HostID
	ownerProcess  uint64    // its incarnation by its latest ProbeReply; 0 if none arrived
	lastHeard     time.Time // when the last message from the owner arrived or, if later, it became the owner
	lastProbe     time.Time // when the owner was last sent a probe
	awaitingSince time.Time // since when a reply from the owner is pending; zero if none is
	lastTick      time.Time
	calls         map[bbtschedule.RequestID]*call
	aliases       map[bbtschedule.RequestID]bbtschedule.RequestID // requests by the other IDs under which they are registered
	lastID        bbtschedule.RequestID
	limitUsage    usage
	learned       bbtschedule.Learned // for the next owner
	limits        limits
	draining      *bbtschedule.Draining // endpoints that have said so to this host
	pauses        pauses
	promises      promises
}

// New returns an entry without requests. Request IDs start after baseID, so that a
// new process does not reuse those of an earlier one.
func New(baseID bbtschedule.RequestID, b bbtcatalog.Bounds) *Entry {
	return &Entry{calls: make(map[bbtschedule.RequestID]*call), aliases: make(map[bbtschedule.RequestID]bbtschedule.RequestID), lastID: baseID,
		limitUsage: newUsage(b), limits: newLimits(), draining: bbtschedule.NewDraining(), pauses: newPauses()}
}

// Owner returns the host that issues permits; empty if there is none.
func (e *Entry) Owner() bbtfleet.HostID { return e.owner }

// Len returns the number of requests that have not ended.
func (e *Entry) Len() int { return len(e.calls) }

// Submit adds a request and asks the owner for a permit.
func (e *Entry) Submit(now time.Time, s Submission) (bbtschedule.RequestID, []Action) {
	e.lastID++
	c := &call{id: e.lastID, registeredID: e.lastID, submission: s}
	e.calls[c.id] = c
	return c.id, e.register(now, c)
}

// register asks the owner for a permit.
func (e *Entry) register(now time.Time, c *call) []Action {
	if c.timeLeft(now) <= 0 {
		return e.fail(c, bbtverdict.ReasonTimeout, 0)
	}
	if e.owner == "" {
		return nil
	}
	if e.awaitingSince.IsZero() {
		e.awaitingSince = now
	}
	c.askedAt = now
	return []Action{Send{e.owner, c.registration(now)}}
}

// fail removes a request and reports its failure in a Fail action.
func (e *Entry) fail(c *call, reason bbtverdict.Reason, retryAfter time.Duration) []Action {
	e.remove(c)
	return []Action{Fail{ID: c.id, Reason: reason, RetryAfter: retryAfter}}
}

// KeepLimits forgets the limits that were stated by endpoints that have not been listed
// for long.
func (e *Entry) KeepLimits(now time.Time, listed func(endpoint string) bool) {
	e.limits.keep(now, listed)
}

// SetLearned sets what the next owner is told that earlier ones have found out.
func (e *Entry) SetLearned(l bbtschedule.Learned) { e.learned = l }

// SetOwner sets the owner. A new owner is sent the dispatches in progress, the usage of
// the limits and what earlier ones have found out, and is asked for permits for the
// requests that wait.
func (e *Entry) SetOwner(now time.Time, owner bbtfleet.HostID) []Action {
	if owner == e.owner {
		return nil
	}
	out := e.refuseRelocations(now)
	e.owner, e.lastHeard, e.lastProbe, e.awaitingSince = owner, now, time.Time{}, time.Time{}
	e.ownerProcess = 0
	e.limitUsage.ownerChanged(now)
	if owner == "" {
		return out
	}
	t := e.limitUsage.takeover(now)
	t.Learned, t.Limits, t.Draining, t.Last = e.learned, e.limits.takeover(now), e.draining.List(), e.lastID
	t.Pauses = e.pauses.takeover(now)
	t.Promises = e.promises.takeover(now)
	var registrations []Action
	for _, id := range e.sortedIDs() {
		c := e.calls[id]
		if c.running {
			t.Running = append(t.Running, c.takeover(now)...)
			continue
		}
		registrations = append(registrations, e.register(now, c)...)
	}
	return append(append(out, Send{owner, t}), registrations...)
}

// sortedIDs returns the IDs of all requests in ascending order.
func (e *Entry) sortedIDs() []bbtschedule.RequestID {
	ids := make([]bbtschedule.RequestID, 0, len(e.calls))
	for id := range e.calls {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, cmp.Compare)
	return ids
}

// MessageReceived records that a message from a host arrived.
func (e *Entry) MessageReceived(now time.Time, from bbtfleet.HostID) {
	if from == e.owner {
		e.lastHeard, e.awaitingSince = now, time.Time{}
	}
}

// PermitReceived handles a permit. A permit that no request waits for, or whose
// request has reached its deadline, is returned to the sender as unused, and so is one
// for an endpoint that has told this host that it is draining, or wants no requests.
// One that has arrived before is ignored.
func (e *Entry) PermitReceived(now time.Time, from bbtfleet.HostID, p bbtschedule.Permit) []Action {
	c := e.callOf(p.ID)
	if c != nil && c.relocation != nil && c.relocation.id == p.ID {
		return e.relocationPermitted(now, from, c, p)
	}
	if c.usesPermit(from, p) {
		return nil
	}
	if c == nil || c.registeredID != p.ID || c.running || c.dispatchNumber != p.Attempt {
		return []Action{Send{from, bbtschedule.Done{ID: p.ID, Attempt: p.Attempt, Outcome: bbtschedule.Unused}}}
	}
	if c.timeLeft(now) <= 0 {
		out := []Action{Send{from, bbtschedule.Done{ID: p.ID, Attempt: p.Attempt, Outcome: bbtschedule.Unused}}}
		return append(out, e.fail(c, bbtverdict.ReasonTimeout, 0)...)
	}
	if e.draining.Has(p.Incarnation()) || e.pauses.remaining(now, p.Incarnation()) > 0 {
		return e.returnPermit(now, from, c, p)
	}
	e.limitUsage.count(now, c)
	c.run(now, from, &p)
	return []Action{c.dispatch(from, &p)}
}

// RefusalReceived handles a refusal from an owner.
func (e *Entry) RefusalReceived(now time.Time, from bbtfleet.HostID, r bbtschedule.Refusal) []Action {
	c := e.callOf(r.ID)
	if c != nil && c.relocation != nil && c.relocation.id == r.ID {
		c.relocation = nil
		delete(e.aliases, r.ID)
		return []Action{RelocationRefused{c.id}}
	}
	if c == nil || c.registeredID != r.ID || c.running || c.dispatchNumber != r.Attempt {
		return nil
	}
	e.promises.record(now, c.submission.Registration.Service, r.Promise)
	e.remove(c)
	return []Action{Fail{ID: c.id, Reason: bbtverdict.Reason(r.Reason), RetryAfter: r.RetryAfter,
		Decision: Decision{Owner: from, Ahead: r.Ahead, Wait: r.Wait}}}
}

// ResponseStarted records that the first event of a response arrived, with the limit
// that the endpoint states in it.
func (e *Entry) ResponseStarted(now time.Time, id bbtschedule.RequestID, l bbtschedule.StatedLimit) []Action {
	c := e.calls[id]
	if c == nil || !c.running || c.responseStarted {
		return nil
	}
	e.limits.record(now, c.incarnation, l)
	c.responseStarted = true
	return []Action{Send{e.owner, bbtschedule.FirstEvent{ID: c.registeredID, Limit: l, Draining: e.drainingOf(c.incarnation)}}}
}

// DispatchEnded records the end of a dispatch. retry states that the request may be
// retried and that its caller still wants it. It is then retried on another endpoint,
// or fails if it has no attempts left. Without retry the request has ended and no
// Fail is returned.
func (e *Entry) DispatchEnded(now time.Time, id bbtschedule.RequestID, d bbtschedule.Done, retry bool) []Action {
	c := e.calls[id]
	if c == nil || !c.running {
		return nil
	}
	e.limits.record(now, c.incarnation, d.Limit)
	d.ID, d.Attempt, d.Draining = c.registeredID, c.dispatchNumber, e.drainingOf(c.incarnation)
	d.Pause = e.pauseOf(now, c.incarnation)
	out := []Action{Send{e.owner, d}}
	if c.permitOwner != e.owner && c.permitOwner != "" {
		out = append(out, Send{c.permitOwner, d})
	}
	c.running, c.ran = false, c.ran || d.Outcome.MayHaveRun()
	c.triedEndpoints = append(c.triedEndpoints, c.endpoint)
	c.dispatchNumber++
	if d.Outcome != bbtschedule.Unreachable {
		c.dispatched++
	}
	switch {
	case !retry:
		out = append(out, e.dropRelocation(now, c)...)
		e.remove(c)
		return out
	case c.dispatched >= c.submission.MaxAttempts || c.dispatchNumber >= maxDispatches:
		out = append(out, e.dropRelocation(now, c)...)
		return append(out, e.fail(c, bbtverdict.ReasonAttemptsExhausted, 0)...)
	case c.relocation != nil:
		return append(out, e.useRelocation(now, c)...)
	default:
		return append(out, e.register(now, c)...)
	}
}

// Cancel ends a request whose caller has disconnected.
func (e *Entry) Cancel(now time.Time, id bbtschedule.RequestID) []Action {
	c := e.calls[id]
	if c == nil {
		return nil
	}
	out := e.dropRelocation(now, c)
	e.remove(c)
	if c.running {
		return append(out, Send{e.owner, bbtschedule.Done{ID: c.registeredID, Attempt: c.dispatchNumber, Outcome: bbtschedule.Cancelled}})
	}
	return append(out, Send{e.owner, bbtschedule.Withdrawal{ID: c.registeredID, Attempt: c.dispatchNumber}})
}

// Tick handles timeouts and sends probes that are due.
func (e *Entry) Tick(now time.Time) []Action {
	e.skipPause(now)
	var out []Action
	for _, id := range e.sortedIDs() {
		if c := e.calls[id]; !c.running && c.timeLeft(now) <= 0 {
			out = append(out, Send{e.owner, bbtschedule.Withdrawal{ID: c.registeredID, Attempt: c.dispatchNumber}})
			out = append(out, e.fail(c, bbtverdict.ReasonTimeout, 0)...)
		}
	}
	if e.owner == "" {
		return out
	}
	silence := now.Sub(e.lastHeard)
	overdue := !e.awaitingSince.IsZero() && now.Sub(e.awaitingSince) >= ProbeDelay
	if now.Sub(e.lastProbe) >= FollowInterval || overdue && silence >= ProbeDelay && now.Sub(e.lastProbe) >= ProbeDelay {
		e.lastProbe = now
		if e.awaitingSince.IsZero() {
			e.awaitingSince = now
		}
		out = append(out, Send{e.owner, bbtschedule.Probe{Pending: e.pending(now)}})
	}
	if !e.awaitingSince.IsZero() && now.Sub(e.awaitingSince) >= OwnerTimeout && silence >= OwnerTimeout {
		out = append(out, OwnerUnresponsive{Host: e.owner, Silence: silence})
	}
	return out
}

// skipPause discounts the time in which this host did not run from the owner's
// silence.
func (e *Entry) skipPause(now time.Time) {
	if gap := now.Sub(e.lastTick); !e.lastTick.IsZero() && gap >= pauseThreshold {
		e.lastHeard = now
		if !e.awaitingSince.IsZero() {
			e.awaitingSince = now
		}
	}
	e.lastTick = now
}
