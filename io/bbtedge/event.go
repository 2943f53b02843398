package bbtedge

import (
	"time"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtentry"
	"bluebelltray/core/bbtschedule"
	"go.uber.org/zap"
)

// event is applied to the state of an Edge by its event loop.
type event interface {
	apply(e *Edge, now time.Time)
}

// requestSubmitted passes on a new request.
type requestSubmitted struct{ req *Request }

// started reports the first event of a response.
type started struct {
	req   *Request
	limit bbtschedule.StatedLimit
}

// ended reports the end of a dispatch, and whether the request may be dispatched
// again.
type ended struct {
	req   *Request
	done  bbtschedule.Done
	retry bool
}

// endpointDraining reports that the endpoint of a dispatch has said in its answer that
// it is draining.
type endpointDraining struct{ dispatch bbtentry.Dispatch }

// endpointPaused reports that the endpoint of a dispatch has said in its answer that it
// wants no requests from this host for a period.
type endpointPaused struct {
	dispatch bbtentry.Dispatch
	period   time.Duration
}

// requestCancelled reports that the caller has cancelled a request.
type requestCancelled struct{ req *Request }

// platformUpdated passes on the platform's answer to a read.
type platformUpdated struct {
	update      bbtcatalog.Update
	afterOutage bool // the first answer after an outage
}

// settingsReloaded passes on new settings.
type settingsReloaded struct{ settings Settings }

// leaveRequested starts the announcement that the host leaves.
type leaveRequested struct{}

func (ev requestSubmitted) apply(e *Edge, now time.Time) {
	id, actions := e.entry.Submit(now, ev.req.submission)
	ev.req.id = id
	e.requests[id] = ev.req
	e.doEntry(now, actions)
}

func (ev started) apply(e *Edge, now time.Time) {
	e.doEntry(now, e.entry.ResponseStarted(now, ev.req.id, ev.limit))
}

func (ev ended) apply(e *Edge, now time.Time) {
	delete(e.relocations, ev.req.id)
	e.doEntry(now, e.entry.DispatchEnded(now, ev.req.id, ev.done, ev.retry))
	if !ev.retry {
		delete(e.requests, ev.req.id)
	}
}

func (ev endpointDraining) apply(e *Edge, now time.Time) {
	e.doEntry(now, e.entry.EndpointDraining(now, ev.dispatch))
}

func (ev endpointPaused) apply(e *Edge, now time.Time) {
	e.doEntry(now, e.entry.EndpointPaused(now, ev.dispatch, ev.period))
}

func (ev requestCancelled) apply(e *Edge, now time.Time) {
	delete(e.requests, ev.req.id)
	delete(e.relocations, ev.req.id)
	e.doEntry(now, e.entry.Cancel(now, ev.req.id))
}

func (ev platformUpdated) apply(e *Edge, now time.Time) {
	if ev.afterOutage {
		e.catalog.OutageEnded(now)
	}
	e.applyUpdate(now, ev.update, "platform")
}

// apply applies the bounds, the only settings that can change while the process
// runs. The drain timeout, the heartbeat, the bounds on rates and retries, and ApplyTime in the
// decision whether this host reads the platform take effect at once. Grace,
// Lifetime, ApplyTime in the reader's timeouts and the windows of the usage that
// the entry role reports to a new owner need a restart.
func (ev settingsReloaded) apply(e *Edge, _ time.Time) {
	e.settings.Bounds = ev.settings.Bounds
	e.catalog.SetBounds(ev.settings.Bounds)
	e.scheduler.SetBounds(ev.settings.Bounds)
	e.log.Info("settings reloaded", zap.Any("bounds", ev.settings.Bounds))
}

func (leaveRequested) apply(e *Edge, now time.Time) {
	e.log.Info("leaving", zap.Int("requests", e.entry.Len()))
	e.doDetector(now, e.detector.Leave(now, e.digest(now)))
	e.electOwner(now)
	e.updateEntrances()
}
