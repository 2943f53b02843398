package bbtedge

import (
	"time"

	"bluebelltray/core/bbtentry"
	"bluebelltray/core/bbtschedule"
)

// Relocation is the search for another endpoint for a request whose endpoint is
// silent, and its dispatch there, while the dispatch to the silent endpoint goes on.
type Relocation struct {
	request *Request
	attempt int
	answer  chan RelocationAnswer
}

// RelocationAnswer is whether there is another endpoint for a request, and which.
type RelocationAnswer struct {
	Granted  bool
	Dispatch bbtentry.Dispatch // to the other endpoint
}

// Relocate looks for another endpoint for the request, whose dispatch with the given
// number goes on.
func (r *Request) Relocate(attempt int) *Relocation {
	rel := &Relocation{request: r, attempt: attempt, answer: make(chan RelocationAnswer, 1)}
	r.edge.post(relocationRequested{rel})
	return rel
}

// Answer returns the channel that receives whether there is another endpoint. The
// channel receives nothing if the dispatch ends first or Cancel is called.
func (rel *Relocation) Answer() <-chan RelocationAnswer { return rel.answer }

// Cancel ends the search, since the endpoint is no longer silent.
func (rel *Relocation) Cancel() { rel.request.edge.post(relocationCancelled{rel}) }

// Dispatched reports that the request is sent to the other endpoint. If the dispatch to
// the silent endpoint then ends to be retried, Request.Next returns this one, which goes
// on.
func (rel *Relocation) Dispatched() { rel.request.edge.post(relocationDispatched{rel}) }

// Ended reports the end of the dispatch to the other endpoint, while the one to the
// silent endpoint goes on.
func (rel *Relocation) Ended(d bbtschedule.Done) { rel.request.edge.post(relocationEnded{rel, d}) }

// relocationRequested starts a relocation.
type relocationRequested struct{ relocation *Relocation }

// relocationCancelled ends a relocation.
type relocationCancelled struct{ relocation *Relocation }

// relocationDispatched reports that a request is sent to the other endpoint.
type relocationDispatched struct{ relocation *Relocation }

// relocationEnded reports the end of a dispatch to the other endpoint.
type relocationEnded struct {
	relocation *Relocation
	done       bbtschedule.Done
}

func (ev relocationRequested) apply(e *Edge, now time.Time) {
	id := ev.relocation.request.id
	if e.requests[id] == nil {
		return
	}
	actions := e.entry.Relocate(now, id, ev.relocation.attempt)
	if len(actions) == 0 {
		return
	}
	e.relocations[id] = ev.relocation.answer
	e.counters.Add("relocations", 1)
	e.doEntry(now, actions)
}

func (ev relocationCancelled) apply(e *Edge, now time.Time) {
	if id, ok := e.takeRelocation(ev.relocation); ok {
		e.doEntry(now, e.entry.CancelRelocation(now, id))
	}
}

func (ev relocationDispatched) apply(e *Edge, now time.Time) {
	if id := ev.relocation.request.id; e.relocations[id] == ev.relocation.answer {
		e.entry.RelocationDispatched(now, id)
	}
}

func (ev relocationEnded) apply(e *Edge, now time.Time) {
	if id, ok := e.takeRelocation(ev.relocation); ok {
		e.counters.Add("relocations-returned", 1)
		e.doEntry(now, e.entry.RelocationEnded(now, id, ev.done))
	}
}

// takeRelocation removes a relocation. It returns the ID of its request, and whether the
// relocation was still on record.
func (e *Edge) takeRelocation(rel *Relocation) (bbtschedule.RequestID, bool) {
	id := rel.request.id
	ok := e.relocations[id] == rel.answer
	if ok {
		delete(e.relocations, id)
	}
	return id, ok
}

// answerRelocation passes on whether there is another endpoint for a request. The
// relocation stays on record if there is.
func (e *Edge) answerRelocation(id bbtschedule.RequestID, a RelocationAnswer) {
	answer := e.relocations[id]
	if answer == nil {
		return
	}
	if a.Granted {
		e.counters.Add("relocations-granted", 1)
	} else {
		delete(e.relocations, id)
	}
	select {
	case answer <- a:
	default: // granted and not read yet, and refused since the owner changed
	}
}
