package bbtentry

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtschedule"
)

// relocation is the search for another endpoint for a request whose endpoint is
// silent, while its dispatch goes on.
type relocation struct {
	id      bbtschedule.RequestID // of its registration
	attempt int                   // number of the dispatch that is looked for
	permit  *bbtschedule.Permit   // nil until it is granted
	owner   bbtfleet.HostID       // that granted the permit
}

// Relocate asks the owner for another endpoint for a request whose endpoint is
// silent. attempt is the number of its dispatch. It is answered by RelocationGranted or RelocationRefused. The dispatch goes
// on: if it is granted and the dispatch then ends to be retried, the permit is used.
func (e *Entry) Relocate(now time.Time, id bbtschedule.RequestID, attempt int) []Action {
	c := e.calls[id]
	if c == nil || !c.running || c.dispatchNumber != attempt || c.relocation != nil {
		return nil
	}
	if e.owner == "" || c.dispatched+1 >= c.submission.MaxAttempts || c.dispatchNumber+1 >= maxDispatches || c.timeLeft(now) <= 0 {
		return []Action{RelocationRefused{id}}
	}
	e.lastID++
	c.relocation = &relocation{id: e.lastID, attempt: c.dispatchNumber + 1}
	e.aliases[e.lastID] = id
	if e.awaitingSince.IsZero() {
		e.awaitingSince = now
	}
	r := c.registration(now)
	r.ID, r.Attempt, r.Retry, r.Silent = c.relocation.id, c.relocation.attempt, true, c.registeredID
	r.Uncharged = false // it is charged for the dispatch that goes on
	r.Exclude = append(slices.Clone(c.triedEndpoints), c.endpoint)
	return []Action{Send{e.owner, r}}
}

// CancelRelocation ends the search for another endpoint, since the request's endpoint
// is no longer silent.
func (e *Entry) CancelRelocation(id bbtschedule.RequestID) []Action {
	if c := e.calls[id]; c != nil {
		return e.dropRelocation(c)
	}
	return nil
}

// dropRelocation ends the relocation of a request, if there is one, and returns its
// permit unused.
func (e *Entry) dropRelocation(c *call) []Action {
	rel := c.relocation
	if rel == nil {
		return nil
	}
	c.relocation = nil
	delete(e.aliases, rel.id)
	if rel.permit == nil {
		return []Action{Send{e.owner, bbtschedule.Withdrawal{ID: rel.id, Attempt: rel.attempt}}}
	}
	return []Action{Send{rel.owner, bbtschedule.Done{ID: rel.id, Attempt: rel.attempt, Outcome: bbtschedule.Unused}}}
}

// relocationPermitted records the permit for a relocation.
func (c *call) relocationPermitted(from bbtfleet.HostID, p bbtschedule.Permit) []Action {
	if c.relocation.permit != nil {
		return nil
	}
	c.relocation.permit, c.relocation.owner = &p, from
	return []Action{RelocationGranted{c.id}}
}

// useRelocation makes the registration of a relocation that of its request, whose
// dispatch has ended, and dispatches it if there is a permit. The request so keeps its
// place in the queue.
func (e *Entry) useRelocation(now time.Time, c *call) []Action {
	rel := c.relocation
	c.relocation = nil
	delete(e.aliases, c.registeredID)
	c.registeredID, c.askedAt = rel.id, now
	if rel.permit == nil {
		return nil
	}
	return e.PermitReceived(now, rel.owner, *rel.permit)
}

// refuseRelocations ends the relocations without a permit, since the owner changes. A
// permit of a former owner may be used.
func (e *Entry) refuseRelocations() []Action {
	var out []Action
	for _, id := range e.sortedIDs() {
		if c := e.calls[id]; c.relocation != nil && c.relocation.permit == nil {
			out = append(out, e.dropRelocation(c)...)
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
