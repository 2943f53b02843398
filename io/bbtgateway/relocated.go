package bbtgateway

import (
	"time"

	"bluebelltray/core/bbtentry"
	"bluebelltray/core/bbtschedule"
	"bluebelltray/io/bbtedge"
)

// overlapTimeout is how long a request may be at two endpoints, from the connection to
// the second one. An endpoint that does not take a request rejects or resets it by then.
const overlapTimeout = 300 * time.Millisecond

// relocationEnd is the end of a dispatch to another endpoint.
type relocationEnd struct {
	dispatch bbtentry.Dispatch
	outcome  bbtschedule.Outcome
}

// try sends the request to another endpoint while its dispatch goes on. The dispatch is
// cancelled once the other endpoint has taken the request, and goes on if it has not.
func (w *watchdog) try(rel *bbtedge.Relocation, d bbtentry.Dispatch) {
	rt := w.begin(rel, d)
	if rt == nil {
		rel.Cancel()
		return
	}
	connected := rt.connected
	overlap := time.NewTimer(overlapTimeout)
	defer overlap.Stop()
	overlap.Stop()
	for {
		select {
		case <-connected:
			connected = nil
			overlap.Reset(overlapTimeout)
			continue
		case <-rt.done:
			if w.endIfRefused(rel, rt) {
				w.rearm()
				return
			}
		case <-overlap.C:
		case <-w.progress:
			w.end(rel, rt)
			return
		case <-w.stopped:
			w.end(rel, rt)
			return
		}
		if !w.abandon(rt) {
			w.end(rel, rt)
		}
		return
	}
}

// begin starts the dispatch to another endpoint, unless events have arrived or the
// watchdog is stopped.
func (w *watchdog) begin(rel *bbtedge.Relocation, d bbtentry.Dispatch) *roundTrip {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isStopped || len(w.progress) > 0 {
		return nil
	}
	rel.Dispatched()
	w.next = w.exchange.newRoundTrip(w.ctx, d, w.lastID, w.exchange.gateway.singleUse)
	go w.next.run()
	return w.next
}

// endIfRefused ends the dispatch to another endpoint if that has not taken the request.
// It reports whether the dispatch has ended.
func (w *watchdog) endIfRefused(rel *bbtedge.Relocation, rt *roundTrip) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.next != rt {
		return true
	}
	outcome, refused := rt.isRefused(!w.progressAt.IsZero())
	if refused {
		w.endLocked(rel, bbtschedule.Done{Outcome: outcome, Limit: rt.attempt.takeLimit()})
	}
	return refused
}

// end cancels the dispatch to another endpoint, while the one to the silent endpoint goes
// on, unless that one has ended first and finish has returned the other.
func (w *watchdog) end(rel *bbtedge.Relocation, rt *roundTrip) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.next != rt {
		return
	}
	done := bbtschedule.Done{Outcome: bbtschedule.Cancelled}
	if !rt.attempt.connTrace.connected.Load() {
		done.Outcome = bbtschedule.Unused
	}
	w.endLocked(rel, done)
}

// endLocked ends the dispatch to another endpoint. The caller holds mu.
func (w *watchdog) endLocked(rel *bbtedge.Relocation, done bbtschedule.Done) {
	w.ended = append(w.ended, relocationEnd{w.next.attempt.dispatch, done.Outcome})
	rel.Ended(done)
	go w.next.discard()
	w.next = nil
}

// finish stops the watchdog, since its dispatch has ended. It returns the dispatch to
// another endpoint that is in progress, nil if there is none, and those that have ended.
func (w *watchdog) finish() (*roundTrip, []relocationEnd) {
	if w == nil {
		return nil, nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopLocked()
	next, ended := w.next, w.ended
	w.next, w.ended = nil, nil
	return next, ended
}

// relocationsEnded records the dispatches to other endpoints that have ended while one to
// a silent endpoint went on, and the one that is in progress; nil for none.
func (x *exchange) relocationsEnded(next *roundTrip, ended []relocationEnd) {
	for _, e := range ended {
		x.addrs = append(x.addrs, e.dispatch.Address)
		x.recordOutcome(e.dispatch, e.outcome)
	}
	if next != nil {
		x.relocated = next
	}
}

// takeRelocated returns the round trip of a dispatch that was started while the one
// before went on, nil if there is none. One that resumes the stream where it no longer
// stands is ended.
func (x *exchange) takeRelocated(d bbtentry.Dispatch) *roundTrip {
	rt := x.relocated
	if rt == nil {
		return nil
	}
	if rt.attempt.dispatch.Attempt != d.Attempt || rt.attempt.dispatch.Endpoint != d.Endpoint || rt.lastID != x.position.lastID {
		x.dropRelocated()
		return nil
	}
	x.relocated = nil
	x.addrs = append(x.addrs, d.Address)
	return rt
}

// dropRelocated ends the dispatch to another endpoint, if there is one.
func (x *exchange) dropRelocated() {
	if rt := x.relocated; rt != nil {
		x.relocated = nil
		rt.discard()
	}
}
