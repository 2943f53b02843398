package bbtedge

import (
	"time"

	"bluebelltray/core/bbtschedule"
)

// Relocation is the search for another endpoint for a request whose endpoint is
// silent.
type Relocation struct {
	request *Request
	attempt int
	answer  chan bool
}

// Relocate looks for another endpoint for the request, whose dispatch with the given
// number goes on.
func (r *Request) Relocate(attempt int) *Relocation {
	rel := &Relocation{request: r, attempt: attempt, answer: make(chan bool, 1)}
	r.edge.post(relocationRequested{rel})
	return rel
}

// Answer returns the channel that receives whether there is another endpoint. If
// there is, Request.Next returns it once the dispatch has ended to be retried. The
// channel receives nothing if the dispatch ends first or Cancel is called.
func (rel *Relocation) Answer() <-chan bool { return rel.answer }

// Cancel ends the search, since the endpoint is no longer silent.
func (rel *Relocation) Cancel() { rel.request.edge.post(relocationCancelled{rel}) }

// relocationRequested starts a relocation.
type relocationRequested struct{ relocation *Relocation }

// relocationCancelled ends a relocation.
type relocationCancelled struct{ relocation *Relocation }

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
	if id := ev.relocation.request.id; e.relocations[id] == ev.relocation.answer {
		delete(e.relocations, id)
		e.doEntry(now, e.entry.CancelRelocation(id))
	}
}

// answerRelocation passes on whether there is another endpoint for a request. The
// relocation stays on record if there is, since it may still be cancelled.
func (e *Edge) answerRelocation(id bbtschedule.RequestID, granted bool) {
	answer := e.relocations[id]
	if answer == nil {
		return
	}
	if granted {
		e.counters.Add("relocations-granted", 1)
	} else {
		delete(e.relocations, id)
	}
	select {
	case answer <- granted:
	default: // granted and not read yet, and refused since the owner changed
	}
}
