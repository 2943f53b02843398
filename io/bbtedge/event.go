package bbtedge

import (
	"time"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtschedule"
	"go.uber.org/zap"
)

// event is something that happened outside of run.
type event interface {
	apply(e *Edge, now time.Time)
}

// submitted is a caller's request.
type submitted struct{ flight *Request }

// began says that the first event of an answer has arrived.
type began struct{ flight *Request }

// ended says how a dispatch ended, and whether the request may go elsewhere.
type ended struct {
	flight *Request
	done   bbtschedule.Done
	again  bool
}

// cancelled says that a request's caller has left.
type cancelled struct{ flight *Request }

// published is what the platform has told.
type published struct {
	update   bbtcatalog.Update
	returned bool // it had not answered for a while
}

// reloaded is new settings.
type reloaded struct{ settings Settings }

// left says that the host is about to stop.
type left struct{}

func (ev submitted) apply(e *Edge, now time.Time) {
	id, actions := e.entry.Submit(now, ev.flight.submission)
	ev.flight.id = id
	e.flights[id] = ev.flight
	e.doEntry(now, actions)
}

func (ev began) apply(e *Edge, now time.Time) { e.doEntry(now, e.entry.ResponseStarted(ev.flight.id)) }

func (ev ended) apply(e *Edge, now time.Time) {
	e.doEntry(now, e.entry.DispatchEnded(now, ev.flight.id, ev.done, ev.again))
	if !ev.again {
		delete(e.flights, ev.flight.id)
	}
}

func (ev cancelled) apply(e *Edge, now time.Time) {
	delete(e.flights, ev.flight.id)
	e.doEntry(now, e.entry.Cancel(ev.flight.id))
}

func (ev published) apply(e *Edge, now time.Time) {
	if ev.returned {
		e.keeper.OutageEnded(now)
	}
	e.take(now, ev.update, "platform")
}

// apply takes over what can change while the process runs: the operators'
// bounds. Addresses need a new process.
func (ev reloaded) apply(e *Edge, _ time.Time) {
	e.settings.Bounds = ev.settings.Bounds
	e.keeper.SetDrainTimeout(ev.settings.Bounds.Drain)
	e.scheduler.SetBounds(ev.settings.Bounds)
	e.log.Info("settings reloaded", zap.Any("bounds", ev.settings.Bounds))
}

func (left) apply(e *Edge, now time.Time) {
	e.log.Info("leaving", zap.Int("requests", e.entry.Len()))
	e.doMember(now, e.member.Leave(now, e.digest(now)))
	e.follow(now)
	e.locate()
}
