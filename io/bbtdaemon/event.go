package bbtdaemon

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtroute"
)

// event is something that happened outside of run.
type event interface {
	apply(d *Daemon, now time.Time)
}

// requestSubmitted is a caller's request.
type requestSubmitted struct{ job *job }

// callerLeft says that a request's caller has left.
type callerLeft struct{ job *job }

// firstTokenReceived says that the first bytes of an answer arrived.
type firstTokenReceived struct{ id bbtgrant.RequestID }

// dispatchFinished says how a dispatch ended.
type dispatchFinished struct {
	id      bbtgrant.RequestID
	outcome bbtroute.Outcome
	started bool // the caller has the head of the answer
	crashed bool // the endpoint broke the connection off
}

// messageReceived is a message from a peer.
type messageReceived struct {
	from bbtfleet.HostID
	msg  any
}

// loadReported is an endpoint's load report.
type loadReported struct{ report bbtgrant.LoadReport }

// addressesRequested asks for the addresses of an account's callers.
type addressesRequested struct {
	account bbtfleet.AccountID
	reply   chan<- addressesResult
}

// addressesResult is the answer to located.
type addressesResult struct {
	known     bool
	addresses []string
}

func (ev requestSubmitted) apply(d *Daemon, now time.Time) { d.submit(now, ev.job) }

func (ev callerLeft) apply(d *Daemon, now time.Time) { d.cancelJob(now, ev.job) }

func (ev firstTokenReceived) apply(d *Daemon, now time.Time) {
	d.performEntryActions(now, d.entry.FirstToken(now, ev.id))
}

func (ev dispatchFinished) apply(d *Daemon, now time.Time) {
	j := d.jobs[ev.id]
	if j != nil {
		d.settleDispatch(now, j, ev)
	}
	d.performEntryActions(now, d.entry.Finished(now, ev.id, ev.outcome))
	if ev.started || ev.outcome.Kind == bbtgrant.Cancelled {
		delete(d.jobs, ev.id)
		d.performEntryActions(now, d.entry.Cancel(now, ev.id))
	}
	if ev.crashed && d.jobs[ev.id] != nil {
		d.retryAfterCrash(now, j)
	}
}

func (ev messageReceived) apply(d *Daemon, now time.Time) { d.handleMessage(now, ev.from, ev.msg) }

func (ev loadReported) apply(d *Daemon, now time.Time) {
	d.performOwnerActions(now, d.owner.UpdateLoad(now, ev.report))
}

func (ev addressesRequested) apply(d *Daemon, _ time.Time) { ev.reply <- d.lookUpAddresses(ev.account) }
