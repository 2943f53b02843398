package bbtdaemon

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtroute"
)

// event is an input to the goroutine of run.
type event interface {
	apply(d *Daemon, now time.Time)
}

// requestSubmitted is a new request from a caller.
type requestSubmitted struct{ job *job }

// callerDisconnected reports that the context of a request has ended.
type callerDisconnected struct{ job *job }

// firstTokenReceived reports that the first bytes of a response have arrived.
type firstTokenReceived struct{ id bbtgrant.RequestID }

// dispatchFinished reports the outcome of a dispatch.
type dispatchFinished struct {
	id      bbtgrant.RequestID
	outcome bbtroute.Outcome
	started bool // the response headers have arrived
	crashed bool // the endpoint is suspected to have crashed
}

// messageReceived is a message from a peer.
type messageReceived struct {
	from bbtfleet.HostID
	msg  any
}

// loadReported is an endpoint's load report.
type loadReported struct{ report bbtgrant.LoadReport }

// addressesRequested requests the addresses to which callers of an account
// connect.
type addressesRequested struct {
	account bbtfleet.AccountID
	reply   chan<- addressesResult
}

// addressesResult is the reply to addressesRequested.
type addressesResult struct {
	known     bool // the configuration has a contract for the account
	addresses []string
}

func (ev requestSubmitted) apply(d *Daemon, now time.Time) { d.submit(now, ev.job) }

func (ev callerDisconnected) apply(d *Daemon, now time.Time) { d.cancelJob(now, ev.job) }

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
