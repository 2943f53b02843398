package bbtentry

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtschedule"
)

// relocation is the search for another endpoint for a request whose endpoint is
// silent, and its dispatch there, while the dispatch to the silent endpoint goes on.
type relocation struct {
	id           bbtschedule.RequestID // of its registration
	attempt      int                   // number of the dispatch that is looked for
	permit       *bbtschedule.Permit   // nil until it is granted
	owner        bbtfleet.HostID       // that granted the permit
	dispatchedAt time.Time             // zero until the request is sent to the endpoint of the permit
}

// isDispatched reports whether the request has been sent to the other endpoint.
func (rel *relocation) isDispatched() bool { return !rel.dispatchedAt.IsZero() }

// registration returns the message that asks the owner for another endpoint for c.
func (rel *relocation) registration(now time.Time, c *call) bbtschedule.Registration {
	r := c.registration(now)
	r.ID, r.Attempt, r.Retry, r.Silent = rel.id, rel.attempt, true, c.registeredID
	r.Uncharged = false // it is charged for the dispatch that goes on
	r.Exclude = append(slices.Clone(c.triedEndpoints), c.endpoint)
	return r
}

// Relocate asks the owner for another endpoint for a request whose endpoint is
// silent. attempt is the number of its dispatch, which goes on. It is answered by
// RelocationGranted or RelocationRefused.
func (e *Entry) Relocate(now time.Time, id bbtschedule.RequestID, attempt int) []Action {
	c := e.calls[id]
	if c == nil || !c.running || c.dispatchNumber != attempt || c.relocation != nil {
		return nil
	}
	if e.owner == "" || c.dispatched+1 >= c.submission.MaxAttempts || c.dispatchNumber+c.relocations+1 >= maxDispatches || c.timeLeft(now) <= 0 {
		return []Action{RelocationRefused{id}}
	}
	e.lastID++
	c.relocation = &relocation{id: e.lastID, attempt: c.dispatchNumber + 1}
	e.aliases[e.lastID] = id
	if e.awaitingSince.IsZero() {
		e.awaitingSince = now
	}
	return []Action{Send{e.owner, c.relocation.registration(now, c)}}
}

// RelocationDispatched records that a request is sent to the endpoint that was granted
// for its relocation. If the dispatch at the silent endpoint then ends to be retried,
// this one takes its place and Dispatch is returned for it.
func (e *Entry) RelocationDispatched(now time.Time, id bbtschedule.RequestID) {
	if c := e.calls[id]; c != nil && c.relocation != nil && c.relocation.permit != nil {
		c.relocation.dispatchedAt = now
		e.limitUsage.countRetry(now, c.submission.Registration.Service)
	}
}

// RelocationEnded records the end of the dispatch to the other endpoint, while the one
// at the silent endpoint goes on.
func (e *Entry) RelocationEnded(now time.Time, id bbtschedule.RequestID, d bbtschedule.Done) []Action {
	c := e.calls[id]
	if c == nil || c.relocation == nil || !c.relocation.isDispatched() {
		return nil
	}
	rel := c.relocation
	e.limits.record(now, rel.permit.Incarnation(), d.Limit)
	c.relocations++
	c.ran = c.ran || d.Outcome.MayHaveRun()
	if d.Outcome != bbtschedule.Unused {
		c.triedEndpoints = append(c.triedEndpoints, rel.permit.Endpoint)
	}
	if d.Outcome != bbtschedule.Unreachable && d.Outcome != bbtschedule.Unused {
		c.dispatched++
	}
	return e.endRelocation(now, c, d)
}

// CancelRelocation ends the search for another endpoint, since the request's endpoint
// is no longer silent.
func (e *Entry) CancelRelocation(now time.Time, id bbtschedule.RequestID) []Action {
	if c := e.calls[id]; c != nil {
		return e.dropRelocation(now, c)
	}
	return nil
}

// dropRelocation ends the relocation of a request, if there is one.
func (e *Entry) dropRelocation(now time.Time, c *call) []Action {
	rel := c.relocation
	switch {
	case rel == nil:
		return nil
	case rel.isDispatched():
		return e.endRelocation(now, c, bbtschedule.Done{Outcome: bbtschedule.Cancelled})
	case rel.permit != nil:
		return e.endRelocation(now, c, bbtschedule.Done{Outcome: bbtschedule.Unused})
	default:
		c.relocation = nil
		delete(e.aliases, rel.id)
		return []Action{Send{e.owner, bbtschedule.Withdrawal{ID: rel.id, Attempt: rel.attempt}}}
	}
}

// endRelocation ends a relocation that has a permit and reports how.
func (e *Entry) endRelocation(now time.Time, c *call, d bbtschedule.Done) []Action {
	rel := c.relocation
	c.relocation = nil
	delete(e.aliases, rel.id)
	i := rel.permit.Incarnation()
	d.ID, d.Attempt, d.Draining, d.Pause = rel.id, rel.attempt, e.drainingOf(i), e.pauseOf(now, i)
	out := []Action{Send{rel.owner, d}}
	if rel.isDispatched() && e.owner != rel.owner && e.owner != "" {
		out = append(out, Send{e.owner, d}) // it has taken over the dispatch
	}
	return out
}

// relocationPermitted records the permit for a relocation. One for an endpoint that is
// draining or wants no requests from this host is returned.
func (e *Entry) relocationPermitted(now time.Time, from bbtfleet.HostID, c *call, p bbtschedule.Permit) []Action {
	rel := c.relocation
	if rel.permit != nil {
		return nil
	}
	rel.permit, rel.owner = &p, from
	drains := e.draining.Has(p.Incarnation())
	if drains || e.pauses.remaining(now, p.Incarnation()) > 0 {
		if drains {
			c.triedEndpoints = append(c.triedEndpoints, p.Endpoint)
		}
		out := []Action{PermitReturned{ID: c.id, Endpoint: p.Endpoint, Draining: drains}, RelocationRefused{c.id}}
		return append(out, e.endRelocation(now, c, bbtschedule.Done{Outcome: bbtschedule.Unused})...)
	}
	return []Action{RelocationGranted{ID: c.id, Dispatch: c.dispatch(from, &p)}}
}

// useRelocation makes the registration of a relocation that of its request, whose
// dispatch has ended, and dispatches it if there is a permit. The request so keeps its
// place in the queue. A dispatch to the other endpoint goes on.
func (e *Entry) useRelocation(now time.Time, c *call) []Action {
	rel := c.relocation
	c.relocation = nil
	delete(e.aliases, c.registeredID)
	c.registeredID, c.askedAt = rel.id, now
	switch {
	case rel.permit == nil:
		return nil
	case rel.isDispatched():
		c.run(rel.dispatchedAt, rel.owner, rel.permit)
		return []Action{c.dispatch(rel.owner, rel.permit)}
	default:
		return e.PermitReceived(now, rel.owner, *rel.permit)
	}
}

// refuseRelocations ends the relocations without a permit, since the owner changes. A
// permit of a former owner may be used.
func (e *Entry) refuseRelocations(now time.Time) []Action {
	var out []Action
	for _, id := range e.sortedIDs() {
		if c := e.calls[id]; c.relocation != nil && c.relocation.permit == nil {
			out = append(out, e.dropRelocation(now, c)...)
			out = append(out, RelocationRefused{id})
		}
	}
	return out
}

// callOf returns the request with a registration, nil if there is none.
func (e *Entry) callOf(registered bbtschedule.RequestID) *call {
	if id, ok := e.aliases[registered]; ok {
		return e.calls[id]
	}
	return e.calls[registered]
}

// remove removes a request that has no relocation.
func (e *Entry) remove(c *call) {
	delete(e.calls, c.id)
	delete(e.aliases, c.registeredID)
}
