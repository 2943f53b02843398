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

// requestSubmitted is a caller's request.
type requestSubmitted struct{ req *Request }

// started says that the first event of an answer has arrived.
type started struct{ req *Request }

// ended says how a dispatch ended, and whether the request may go elsewhere.
type ended struct {
	req   *Request
	done  bbtschedule.Done
	retry bool
}

// requestCancelled says that a request's caller has left.
type requestCancelled struct{ req *Request }

// platformUpdated is what the platform has told.
type platformUpdated struct {
	update      bbtcatalog.Update
	afterOutage bool // it had not answered for a while
}

// settingsReloaded is new settings.
type settingsReloaded struct{ settings Settings }

// leaveRequested says that the host is about to stop.
type leaveRequested struct{}

func (ev requestSubmitted) apply(e *Edge, now time.Time) {
	id, actions := e.entry.Submit(now, ev.req.submission)
	ev.req.id = id
	e.requests[id] = ev.req
	e.doEntry(now, actions)
}

func (ev started) apply(e *Edge, now time.Time) { e.doEntry(now, e.entry.ResponseStarted(ev.req.id)) }

func (ev ended) apply(e *Edge, now time.Time) {
	e.doEntry(now, e.entry.DispatchEnded(now, ev.req.id, ev.done, ev.retry))
	if !ev.retry {
		delete(e.requests, ev.req.id)
	}
}

func (ev requestCancelled) apply(e *Edge, now time.Time) {
	delete(e.requests, ev.req.id)
	e.doEntry(now, e.entry.Cancel(ev.req.id))
}

func (ev platformUpdated) apply(e *Edge, now time.Time) {
	if ev.afterOutage {
		e.catalog.OutageEnded(now)
	}
	e.applyUpdate(now, ev.update, "platform")
}

// apply takes over what can change while the process runs: the operators'
// bounds. Addresses need a new process.
func (ev settingsReloaded) apply(e *Edge, _ time.Time) {
	e.settings.Bounds = ev.settings.Bounds
	e.catalog.SetDrainTimeout(ev.settings.Bounds.Drain)
	e.scheduler.SetBounds(ev.settings.Bounds)
	e.log.Info("settings reloaded", zap.Any("bounds", ev.settings.Bounds))
}

func (leaveRequested) apply(e *Edge, now time.Time) {
	e.log.Info("leaving", zap.Int("requests", e.entry.Len()))
	e.doDetector(now, e.detector.Leave(now, e.digest(now)))
	e.electOwner(now)
	e.updateAddresses()
}
