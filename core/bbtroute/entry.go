// Package bbtroute implements the entry role: it registers each request of a
// caller with owners of endpoints that can serve it, dispatches it under the
// first permit, and decides on retries and refusals.
package bbtroute

import (
	"maps"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtverdict"
)

const (
	defaultMaxOwners  = 2
	defaultHedgeDelay = 6 * time.Millisecond
	defaultWidenDelay = 100 * time.Millisecond
	maxLosses         = 2 // lost dispatches after which a request is not retried, as it may crash endpoints
)

// Entry routes the requests of the callers connected to one host. Its methods
// take the current time and return the actions that the driver must take, in
// order. It is not safe for concurrent use.
type Entry struct {
	host        bbtfleet.HostID
	start       time.Time
	maxOwners   int
	hedgeDelay  time.Duration
	widenDelay  time.Duration
	pools       map[bbtfleet.PoolID]*pool
	jobs        map[bbtgrant.RequestID]*job
	grantSpeeds map[bbtfleet.PoolID]*grantSpeed
	timers      timers
	budget      budget
}

// New returns an Entry for a host. The times SentAt and Expiry of registrations and
// permits are counted from start, the start of the host's process.
func New(host bbtfleet.HostID, start time.Time, opts ...Option) *Entry {
	e := &Entry{
		host:        host,
		start:       start,
		maxOwners:   defaultMaxOwners,
		hedgeDelay:  defaultHedgeDelay,
		widenDelay:  defaultWidenDelay,
		pools:       make(map[bbtfleet.PoolID]*pool),
		jobs:        make(map[bbtgrant.RequestID]*job),
		grantSpeeds: make(map[bbtfleet.PoolID]*grantSpeed),
		budget:      budget{left: maxBudget},
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// SetTargets sets the endpoints in service and their owners. Waiting requests are
// withdrawn from hosts that no longer own an endpoint of their pool, and are
// registered with other owners.
func (e *Entry) SetTargets(now time.Time, targets []Target) []Action {
	e.pools = groupByPool(targets)
	var out []Action
	for _, j := range e.waiting() {
		p := e.pools[j.Pool]
		for _, h := range slices.Clone(j.registered) {
			if !p.hasOwner(h) {
				j.removeOwner(h)
				out = append(out, e.send(h, bbtgrant.Withdrawal{Request: j.ID}))
			}
		}
		j.unavailable, j.deadlineSheds = nil, 0
		out = append(out, e.rankAndRegister(now, j)...)
	}
	return out
}

// Submit accepts a request and registers it.
func (e *Entry) Submit(now time.Time, r Request) []Action {
	j := &job{Request: r, maxOwners: 1, submittedAt: now}
	e.jobs[r.ID] = j
	e.budget.earn()
	if !r.Deadline.IsZero() {
		e.timers.set(r.Deadline, r.ID)
	}
	if e.maxOwners > 1 {
		j.registerAt = now.Add(e.hedgeDelay)
		e.timers.set(j.registerAt, r.ID)
	}
	return e.rankAndRegister(now, j)
}

// Granted dispatches the request under the permit, or returns the permit if it
// has expired or the request does not need it.
func (e *Entry) Granted(now time.Time, from bbtfleet.HostID, p bbtgrant.Permit) []Action {
	giveBack := e.send(from, bbtgrant.Return{Permit: p.ID})
	j := e.jobs[p.Request]
	if j == nil || j.dispatch != nil {
		return []Action{giveBack}
	}
	wasRegistered := j.removeOwner(from)
	if now.Sub(e.start) >= p.Expiry || !wasRegistered || slices.Contains(j.Exclude, p.Endpoint) {
		return append([]Action{giveBack}, e.register(now, j)...)
	}
	j.dispatch = &dispatch{owner: from, permit: p, start: now}
	e.grantSpeedOf(j.Pool).learn(j.Tier, now.Sub(j.submittedAt), e.widenDelay)
	out := []Action{Dispatch{Request: j.ID, Endpoint: p.Endpoint, Permit: p}}
	return append(out, e.withdraw(j)...)
}

// WasShed records that an owner has dropped the registration.
func (e *Entry) WasShed(now time.Time, from bbtfleet.HostID, s bbtgrant.Shed) []Action {
	j := e.jobs[s.Request]
	if j == nil || !j.removeOwner(from) {
		return nil
	}
	j.unavailable = append(j.unavailable, from)
	j.reason, j.retryAfter = s.Reason, s.RetryAfter
	if s.Reason == bbtverdict.ReasonDeadlineUnreachable {
		j.deadlineSheds++
	}
	if j.deadlineSheds >= e.maxOwners && len(j.registered) == 0 {
		return e.refuse(j, bbtverdict.ReasonDeadlineUnreachable)
	}
	return e.register(now, j)
}

// Cancel ends a request whose caller has disconnected.
func (e *Entry) Cancel(_ time.Time, id bbtgrant.RequestID) []Action {
	j := e.jobs[id]
	if j == nil {
		return nil
	}
	if j.dispatch != nil {
		return []Action{Stop{Request: id}}
	}
	delete(e.jobs, id)
	return e.withdraw(j)
}

// FirstToken records that the first token of the answer has arrived.
func (e *Entry) FirstToken(now time.Time, id bbtgrant.RequestID) []Action {
	if j := e.jobs[id]; j != nil && j.dispatch != nil && j.dispatch.firstToken.IsZero() {
		j.dispatch.firstToken = now
	}
	return nil
}

// Finished records how the dispatch of a request ended, whatever the outcome, and
// decides whether to retry it.
func (e *Entry) Finished(now time.Time, id bbtgrant.RequestID, o Outcome) []Action {
	j := e.jobs[id]
	if j == nil || j.dispatch == nil {
		return nil
	}
	done := e.send(j.dispatch.owner, j.dispatchEnded(now, o))
	j.Exclude = append(slices.Clone(j.Exclude), j.dispatch.permit.Endpoint)
	j.dispatch = nil
	switch o.Kind {
	case bbtgrant.Refused:
		return append([]Action{done}, e.retry(now, j, j.verdict(), bbtverdict.ReasonEndpointRefused)...)
	case bbtgrant.Lost:
		j.Isolated = true
		if j.repeats >= min(j.MaxRepeats, maxLosses-1) {
			return append([]Action{done}, e.fail(j, bbtverdict.MayHaveRun, bbtverdict.ReasonEndpointLost)...)
		}
		j.repeats++
		return append([]Action{done}, e.retry(now, j, bbtverdict.MayHaveRun, bbtverdict.ReasonEndpointLost)...)
	default:
		delete(e.jobs, id)
		return []Action{done}
	}
}

// HostLost records that a host has died. Requests that were registered with it
// are registered with other owners.
func (e *Entry) HostLost(now time.Time, host bbtfleet.HostID) []Action {
	var out []Action
	for _, j := range e.waiting() {
		if j.removeOwner(host) {
			j.unavailable = append(j.unavailable, host)
			out = append(out, e.register(now, j)...)
		}
	}
	return out
}

// Tick registers waiting requests with more owners when their delays have
// passed, and refuses requests whose deadlines have passed.
func (e *Entry) Tick(now time.Time) []Action {
	var out []Action
	for id, ok := e.timers.popDue(now); ok; id, ok = e.timers.popDue(now) {
		j := e.jobs[id]
		switch {
		case j == nil || j.dispatch != nil:
		case !j.Deadline.IsZero() && !now.Before(j.Deadline):
			out = append(out, e.refuse(j, bbtverdict.ReasonDeadlineUnreachable)...)
		case !j.registerAt.IsZero() && !now.Before(j.registerAt):
			out = append(out, e.widen(now, j)...)
		}
	}
	return out
}

// Next returns when Tick should be called next, or the zero time if no call is
// needed.
func (e *Entry) Next() time.Time {
	return e.timers.next(func(id bbtgrant.RequestID) bool {
		j := e.jobs[id]
		return j == nil
	})
}

// waiting returns the requests without a running dispatch, sorted by ID.
func (e *Entry) waiting() []*job {
	var out []*job
	for _, id := range slices.Sorted(maps.Keys(e.jobs)) {
		if j := e.jobs[id]; j.dispatch == nil {
			out = append(out, j)
		}
	}
	return out
}

func (e *Entry) send(h bbtfleet.HostID, m bbtgrant.Message) Action {
	return Send{To: h, Message: m}
}
